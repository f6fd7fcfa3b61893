package peer

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// Limits on the connections between two members and on the time of a message.
const (
	maxConnections = 256
	maxIdle        = 30 * time.Second
	messageTimeout = 500 * time.Millisecond
)

// Dispatcher runs a forwarded call on one of the targets of the call's shard.
type Dispatcher interface {
	Dispatch(ctx context.Context, c *call.Call) call.Answer
}

// Client sends calls and messages to other members; it is safe for concurrent use.
type Client struct {
	clock  clock.Clock
	dial   pool.Dial
	bodies *exchange.BodyBudget

	mu         sync.Mutex
	exchangers map[ident.Address]*exchange.Exchanger
}

// NewClient returns a client that connects over TCP. The bodies that it reads share the budget b with others.
func NewClient(b *exchange.BodyBudget, c clock.Clock) *Client {
	return &Client{clock: c, dial: pool.DialTCP, bodies: b, exchangers: map[ident.Address]*exchange.Exchanger{}}
}

// Forward has a call run by the member with the given peer address. If the response is lost, the answer has an
// OwnerUnresponsive event.
func (c *Client) Forward(ctx context.Context, a ident.Address, k *call.Call) call.Answer {
	h := encodeCall(k, c.clock.Now())
	x := c.exchanger(a).Do(ctx, k, h, func() outcome.Reason { return "" })
	switch e := x.Event.(type) {
	case outcome.NeverWritten:
		return call.NotRun(e.Reason)
	case outcome.Broken:
		r := call.Unknown(e.Reason)
		r.Event = outcome.OwnerUnresponsive(e)
		return r
	default:
		return decodeAnswer(x.Status, x.Header, x.Body)
	}
}

// CloseIdle closes the idle connections to all members. Calls in flight end as usual.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, x := range c.exchangers {
		x.Close()
		delete(c.exchangers, a)
	}
}

func (c *Client) exchanger(a ident.Address) *exchange.Exchanger {
	c.mu.Lock()
	defer c.mu.Unlock()
	x, ok := c.exchangers[a]
	if !ok {
		x = exchange.NewForPeer(pool.New(a, maxConnections, maxIdle, c.dial, c.clock), c.bodies, c.clock)
		c.exchangers[a] = x
	}
	return x
}
