package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// MessageKind is the kind of a message between members other than a forwarded call.
type MessageKind string

// MessageHandler handles the messages of one kind; the message and the response are encoded as protobuf.
type MessageHandler func(ctx context.Context, b []byte) (proto.Message, error)

// Mux serves the requests of other members: forwarded calls and messages.
type Mux struct {
	dispatcher Dispatcher
	bodies     *exchange.BodyBudget
	clock      clock.Clock
	handlers   map[MessageKind]MessageHandler
}

// NewMux returns the HTTP handler for a member's peer address. The bodies that it reads share the budget b with others.
func NewMux(d Dispatcher, b *exchange.BodyBudget, c clock.Clock) *Mux {
	return &Mux{dispatcher: d, bodies: b, clock: c, handlers: map[MessageKind]MessageHandler{}}
}

// Register sets the handler for a kind of message; it must not be called after the mux has begun to serve.
func (m *Mux) Register(k MessageKind, r MessageHandler) {
	m.handlers[k] = r
}

// ServeHTTP serves one forwarded call or message.
func (m *Mux) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l := m.bodies.Open()
	defer l.Close()
	b, err := l.ReadRequest(r.Body, r.ContentLength, m.bodies.MaxRequest())
	switch k := MessageKind(r.Header.Get(call.HeaderMessage)); {
	case errors.Is(err, exchange.ErrBodyTooLarge) && !m.bodies.Bounded():
		discardBody(r)
		writeAnswer(w, r, call.Rejected(outcome.TooLarge, http.StatusRequestEntityTooLarge))
	case errors.Is(err, exchange.ErrBodyTooLarge), errors.Is(err, exchange.ErrNoRoom):
		// The member that took the request from its caller has room for it, and another one may have.
		discardBody(r)
		writeAnswer(w, r, call.NotRun(outcome.Unreachable))
	case err != nil:
	case k != "":
		call.CopyIDs(w.Header(), r.Header)
		m.serveMessage(r.Context(), w, k, b)
	default:
		c := decodeCall(r, b, m.clock.Now())
		c.Bodies = l
		writeAnswer(w, r, m.dispatcher.Dispatch(r.Context(), c))
	}
}

// maxDiscarded bounds what is read and dropped of a body that is not kept.
const maxDiscarded = 256 << 20

// discardBody drops the rest of a body: the other member reads the answer only once it has sent the body.
func discardBody(r *http.Request) {
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscarded)
}

// writeAnswer sends the answer to a forwarded call.
func writeAnswer(w http.ResponseWriter, r *http.Request, a call.Answer) {
	encodeAnswer(&a, w.Header())
	call.CopyIDs(w.Header(), r.Header)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func (m *Mux) serveMessage(ctx context.Context, w http.ResponseWriter, k MessageKind, b []byte) {
	f, ok := m.handlers[k]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	a, err := f(ctx, b)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o, err := proto.Marshal(a)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(o)
}

// SendMessage sends a message to the member with the given peer address and decodes the response into a. After an error
// the message may or may not have been received.
func (c *Client) SendMessage(ctx context.Context, to ident.Address, k MessageKind, m, a proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("send %s: %w", k, err)
	}
	q := &call.Call{
		ID: ident.Request(k), Attempt: 1, Method: http.MethodPost, Path: "/", Host: string(to), Body: b,
		Deadline: c.clock.Now().Add(messageTimeout),
	}
	h := http.Header{call.HeaderMessage: {string(k)}}
	x := c.exchanger(to).Do(ctx, q, h, func() outcome.Reason { return "" })
	if _, ok := x.Event.(outcome.Completed); !ok || x.Status != http.StatusOK {
		return fmt.Errorf("send %s to %s: status %d: %T", k, to, x.Status, x.Event)
	}
	if err := proto.Unmarshal(x.Body, a); err != nil {
		return fmt.Errorf("decode response to %s: %w", k, err)
	}
	return nil
}
