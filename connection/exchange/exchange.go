package exchange

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// maxUnproven is how long a connection may have been unused and still carry a request that must not run twice.
const maxUnproven = time.Second

// anyAge is a span longer than any connection stays idle.
const anyAge = 24 * time.Hour

// Result is how an exchange ended; Status, Header and Body are set only with a Completed or Refused event.
type Result struct {
	Event  outcome.Event
	Status int
	Header http.Header
	Body   []byte
}

// Exchanger sends calls to one address over a pool; it is safe for concurrent use.
type Exchanger struct {
	pool  *pool.Pool
	clock clock.Clock
	// echo tells whether an answer must echo the id of its exchange.
	echo bool
	pace *pace
	// breaker knows whether the address answers at all.
	breaker breaker
}

// New returns an exchanger over the pool; with echo an answer must name the exchange that it belongs to.
func New(p *pool.Pool, c clock.Clock, echo bool) *Exchanger {
	return &Exchanger{pool: p, clock: c, echo: echo, pace: newPace(minPatience)}
}

// NewPeer returns an exchanger towards another member, which gets more time than an upstream because it may try
// again itself.
func NewPeer(p *pool.Pool, c clock.Clock) *Exchanger {
	return &Exchanger{pool: p, clock: c, echo: true, pace: newPace(minPeerPatience)}
}

// Do runs one exchange. Check is asked immediately before the first byte is written; its reason, unless empty,
// stops the exchange as never written.
func (e *Exchanger) Do(ctx context.Context, c *call.Call, h http.Header, check func() outcome.Reason) Result {
	left := c.Deadline.Sub(e.clock.Now())
	if left <= 0 {
		return neverWritten(outcome.Expired)
	}
	q, err := newRequest(c, h)
	if err != nil {
		return neverWritten(outcome.BadRequest)
	}
	ok, trial := e.breaker.enter(e.clock.Now(), c.Idempotent)
	if !ok {
		return neverWritten(outcome.Unreachable)
	}
	defer e.breaker.leave(trial)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	n, err := e.pool.Get(ctx, freshness(c))
	if err != nil {
		return neverWritten(reasonOfGet(ctx, err))
	}
	if r := e.reasonNotToWrite(ctx, c, check); r != "" {
		e.pool.Return(n)
		return neverWritten(r)
	}
	n.Sent = e.clock.Now()
	setDeadline(q.Header, c.Deadline.Sub(n.Sent))
	r, keep := e.attempt(ctx, n, c, q)
	if !keep {
		e.pool.Discard(n)
		return r
	}
	e.pool.Put(n)
	return r
}

// attempt uses the connection until the answer is whole, the context ends, or the target is silent for too long. It
// reports whether the connection may be used again.
func (e *Exchanger) attempt(ctx context.Context, n *pool.Conn, c *call.Call, q *http.Request) (Result, bool) {
	w := e.watch(n, c)
	stop := context.AfterFunc(ctx, func() { interrupt(n) })
	r, keep := e.roundTrip(n, c, q)
	stopped := stop()
	patient := w.stop()
	switch v := r.Event.(type) {
	case outcome.Completed:
		e.pace.answered(e.clock.Now().Sub(n.Sent))
		e.breaker.answered(e.clock.Now())
	case outcome.Refused:
		e.breaker.answered(e.clock.Now())
	case outcome.NeverWritten:
		if !stopped {
			r.Event = outcome.NeverWritten{Reason: reasonOfEnd(ctx)}
		}
	case outcome.Broken:
		if !stopped && v.Reason == outcome.Silent {
			r.Event = outcome.Broken{Reason: reasonOfEnd(ctx)}
		}
		if r.Event == (outcome.Broken{Reason: outcome.Silent}) || r.Event == (outcome.Broken{Reason: outcome.Expired}) {
			e.breaker.inVain(n.Sent, e.clock.Now())
		}
	}
	return r, keep && stopped && patient
}

// reasonNotToWrite is asked last, so that nothing can change between the answer and the first byte but time.
func (e *Exchanger) reasonNotToWrite(ctx context.Context, c *call.Call, check func() outcome.Reason) outcome.Reason {
	if ctx.Err() != nil {
		return reasonOfEnd(ctx)
	}
	if c.Deadline <= e.clock.Now() {
		return outcome.Expired
	}
	return check()
}

func neverWritten(r outcome.Reason) Result {
	return Result{Event: outcome.NeverWritten{Reason: r}}
}

// freshness is how long ago a connection must have answered to carry the call. An old one may be dead without a
// sign, and then a call that must not run twice could not be sent again.
func freshness(c *call.Call) time.Duration {
	if c.Idempotent {
		return anyAge
	}
	return maxUnproven
}

// interrupt makes reads and writes that are under way fail at once.
func interrupt(n *pool.Conn) {
	_ = n.SetDeadline(time.Unix(1, 0))
}

func reasonOfGet(ctx context.Context, err error) outcome.Reason {
	if ctx.Err() != nil {
		return reasonOfEnd(ctx)
	}
	if errors.Is(err, pool.ErrFull) {
		return outcome.Overload
	}
	return outcome.Unreachable
}

// ErrLost is the cause by which a sender ends an exchange whose target does not run the request.
var ErrLost = errors.New("exchange: the target does not run the request")

func reasonOfEnd(ctx context.Context) outcome.Reason {
	if errors.Is(context.Cause(ctx), ErrLost) {
		return outcome.Silent
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcome.Cancelled
	}
	return outcome.Expired
}
