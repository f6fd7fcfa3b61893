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

// maxIdleNonIdempotent is how long a connection may have been idle and still carry a request that must not run twice.
const maxIdleNonIdempotent = time.Second

// unlimitedIdle exceeds the time for which any pool keeps an idle connection.
const unlimitedIdle = 24 * time.Hour

// Result is the result of one exchange; Status, Header and Body are set only with a Completed or Refused event.
type Result struct {
	// Event says how the exchange ended.
	Event  outcome.Event
	Status int
	Header http.Header
	Body   []byte
}

// Exchanger sends calls to one address over a connection pool; it is safe for concurrent use.
type Exchanger struct {
	pool  *pool.Pool
	clock clock.Clock
	// echo is whether a response that doesn't repeat the exchange id of its request is rejected.
	echo bool
	// needsWhole is whether the address handles a request only once it has received all of it.
	needsWhole bool
	bodies     *BodyBudget
	latency    *latencyEstimator
	// breaker refuses requests while the address responds to none.
	breaker breaker
}

// New returns an Exchanger that sends calls to an upstream over the pool. If echo is true, a response must repeat the
// exchange id of its request.
func New(p *pool.Pool, c clock.Clock, echo bool) *Exchanger {
	return &Exchanger{
		pool: p, clock: c, echo: echo, bodies: NewBodyBudget(0), latency: newLatencyEstimator(minResponseTimeout),
	}
}

// NewForPeer returns an Exchanger that sends calls to another member over the pool. A member gets a longer response
// timeout than an upstream, because it may itself retry the request. A member sends a request on only once it has
// received all of it, so that one whose write has failed never ran. The bodies that are read share the budget b with
// others.
func NewForPeer(p *pool.Pool, b *BodyBudget, c clock.Clock) *Exchanger {
	return &Exchanger{
		pool: p, clock: c, echo: true, needsWhole: true, bodies: b, latency: newLatencyEstimator(minPeerResponseTimeout),
	}
}

// Close closes the idle connections now, and those in use when their exchanges end.
func (e *Exchanger) Close() {
	e.pool.Close()
}

// Do runs one exchange. It calls check immediately before it writes the first byte; if check returns a reason, the
// exchange ends as NeverWritten.
func (e *Exchanger) Do(ctx context.Context, c *call.Call, h http.Header, check func() outcome.Reason) Result {
	left := c.Deadline.Sub(e.clock.Now())
	if left <= 0 {
		return neverWritten(outcome.Expired)
	}
	q, err := newRequest(c, h)
	if err != nil {
		return neverWritten(outcome.BadRequest)
	}
	ok, trial := e.breaker.admit(e.clock.Now(), c.Idempotent)
	if !ok {
		return neverWritten(outcome.Unreachable)
	}
	defer e.breaker.endTrial(trial)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	n, err := e.pool.Get(ctx, maxIdleFor(c))
	if err != nil {
		return neverWritten(reasonOfGetError(ctx, err))
	}
	if r := e.checkBeforeWrite(ctx, c, check); r != "" {
		e.pool.PutUnused(n)
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

// attempt sends the request and reads the response until it is complete, the context ends, or the stall watch aborts
// the exchange. It reports whether the connection may be used again.
func (e *Exchanger) attempt(ctx context.Context, n *pool.Conn, c *call.Call, q *http.Request) (Result, bool) {
	w := e.startStallWatch(n, c)
	stop := context.AfterFunc(ctx, func() { abortIO(n) })
	r, keep := e.roundTrip(n, c, q)
	stopped := stop()
	notAborted := w.stop()
	switch v := r.Event.(type) {
	case outcome.Completed:
		e.latency.observe(e.clock.Now().Sub(n.Sent))
		e.breaker.recordResponse(e.clock.Now())
	case outcome.Refused:
		e.breaker.recordResponse(e.clock.Now())
	case outcome.NeverWritten:
		if !stopped {
			r.Event = outcome.NeverWritten{Reason: reasonOfContextEnd(ctx)}
		}
	case outcome.Broken:
		if !stopped && v.Reason == outcome.Silent {
			r.Event = outcome.Broken{Reason: reasonOfContextEnd(ctx)}
		}
		if r.Event == (outcome.Broken{Reason: outcome.Silent}) || r.Event == (outcome.Broken{Reason: outcome.Expired}) {
			e.breaker.recordTimeout(n.Sent, e.clock.Now())
		}
	}
	return r, keep && stopped && notAborted
}

// checkBeforeWrite runs the checks that must come last before the first byte is written, so that only time passes
// between them and the write. It returns the reason not to write, or none.
func (e *Exchanger) checkBeforeWrite(ctx context.Context, c *call.Call, check func() outcome.Reason) outcome.Reason {
	if ctx.Err() != nil {
		return reasonOfContextEnd(ctx)
	}
	if c.Deadline <= e.clock.Now() {
		return outcome.Expired
	}
	return check()
}

func neverWritten(r outcome.Reason) Result {
	return Result{Event: outcome.NeverWritten{Reason: r}}
}

// maxIdleFor returns how long ago the last response on a connection may be for the connection to carry the call. An
// idle connection may be dead without any sign of it, and a call that must not run twice could not be sent again.
func maxIdleFor(c *call.Call) time.Duration {
	if c.Idempotent {
		return unlimitedIdle
	}
	return maxIdleNonIdempotent
}

// abortIO makes pending and later reads and writes on the connection fail at once.
func abortIO(n *pool.Conn) {
	_ = n.SetDeadline(time.Unix(1, 0))
}

func reasonOfGetError(ctx context.Context, err error) outcome.Reason {
	if ctx.Err() != nil {
		return reasonOfContextEnd(ctx)
	}
	if errors.Is(err, pool.ErrFull) {
		return outcome.Overload
	}
	return outcome.Unreachable
}

// The context causes with which a sender ends an exchange: the target turns out not to run the request, or no response
// can arrive.
var (
	ErrNotRunning = errors.New("exchange: the target is not running the request")
	ErrNoPath     = errors.New("exchange: there is no path to the target")
)

func reasonOfContextEnd(ctx context.Context) outcome.Reason {
	if c := context.Cause(ctx); errors.Is(c, ErrNotRunning) || errors.Is(c, ErrNoPath) {
		return outcome.Silent
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcome.Cancelled
	}
	return outcome.Expired
}
