package link

import (
	"context"
	"encoding/json"
	"fmt"
	"net"

	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/wire"
)

// The JSON-RPC methods of the link; all are notifications.
const (
	methodHello  = "Link.Hello"
	methodView   = "Link.View"
	methodStatus = "Link.Status"
	methodLeave  = "Link.Leave"
)

// Conn is a connection between the two processes of a VM.
type Conn struct {
	rpc *jsonrpc2.Conn
}

// Handlers are called for the messages of the other side; messages without a handler are ignored.
type Handlers struct {
	Hello  func(*Conn, *wire.Hello)
	View   func(*wire.View)
	Status func(*Conn, *wire.Status)
	Leave  func(*Conn, *wire.Leave)
}

// Dial connects an entry process to the control process of its VM.
func Dial(ctx context.Context, a ident.Address, h Handlers) (*Conn, error) {
	d := &net.Dialer{}
	n, err := d.DialContext(ctx, "tcp", string(a))
	if err != nil {
		return nil, fmt.Errorf("dial control process: %w", err)
	}
	return newConn(ctx, n, h), nil
}

// Serve accepts connections of entry processes until the listener is closed.
func Serve(ctx context.Context, l net.Listener, h Handlers) error {
	for {
		n, err := l.Accept()
		if err != nil {
			return fmt.Errorf("accept entry process: %w", err)
		}
		newConn(ctx, n, h)
	}
}

// SendHello introduces the entry process to the control process.
func (c *Conn) SendHello(ctx context.Context, m *wire.Hello) error {
	return c.notify(ctx, methodHello, m)
}

// SendView sends the entry process its view: the epoch, the configuration and this member's lease, as far as they
// changed.
func (c *Conn) SendView(ctx context.Context, m *wire.View) error {
	return c.notify(ctx, methodView, m)
}

// SendStatus reports to the control process which epoch and configuration version the entry process uses.
func (c *Conn) SendStatus(ctx context.Context, m *wire.Status) error {
	return c.notify(ctx, methodStatus, m)
}

// SendLeave announces to the control process that the entry process begins a planned stop.
func (c *Conn) SendLeave(ctx context.Context, m *wire.Leave) error {
	return c.notify(ctx, methodLeave, m)
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} {
	return c.rpc.DisconnectNotify()
}

// Close ends the connection.
func (c *Conn) Close() {
	_ = c.rpc.Close()
}

// newConn starts to receive messages from a connection.
func newConn(ctx context.Context, n net.Conn, h Handlers) *Conn {
	c := &Conn{}
	r := &receiver{conn: c, handlers: h, ready: make(chan struct{})}
	c.rpc = jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(n), r)
	close(r.ready)
	return c
}

func (c *Conn) notify(ctx context.Context, method string, m proto.Message) error {
	b, err := protojson.Marshal(m)
	if err != nil {
		return fmt.Errorf("%s: %w", method, err)
	}
	if err := c.rpc.Notify(ctx, method, json.RawMessage(b)); err != nil {
		return fmt.Errorf("%s: %w", method, err)
	}
	return nil
}

// receiver passes messages to the handlers in the order of their arrival.
type receiver struct {
	conn     *Conn
	handlers Handlers
	// ready is closed once conn is complete; messages that arrive earlier wait for it.
	ready chan struct{}
}

// Handle is called by the connection for each message.
func (r *receiver) Handle(_ context.Context, _ *jsonrpc2.Conn, q *jsonrpc2.Request) {
	<-r.ready
	if q.Params == nil {
		return
	}
	switch q.Method {
	case methodHello:
		decodeAndHandle(*q.Params, &wire.Hello{}, r.hello)
	case methodView:
		decodeAndHandle(*q.Params, &wire.View{}, r.handlers.View)
	case methodStatus:
		decodeAndHandle(*q.Params, &wire.Status{}, r.status)
	case methodLeave:
		decodeAndHandle(*q.Params, &wire.Leave{}, r.leave)
	}
}

func (r *receiver) hello(m *wire.Hello) {
	if r.handlers.Hello != nil {
		r.handlers.Hello(r.conn, m)
	}
}

func (r *receiver) status(m *wire.Status) {
	if r.handlers.Status != nil {
		r.handlers.Status(r.conn, m)
	}
}

func (r *receiver) leave(m *wire.Leave) {
	if r.handlers.Leave != nil {
		r.handlers.Leave(r.conn, m)
	}
}

// decodeAndHandle passes a message to its handler. It ignores unknown fields and messages that can't be decoded, since
// the two processes may be of different releases during an upgrade.
func decodeAndHandle[M proto.Message](b []byte, m M, f func(M)) {
	o := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := o.Unmarshal(b, m); err != nil || f == nil {
		return
	}
	f(m)
}
