package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/handover"
	"github.com/amaranthramp/amaranthramp/process/shard"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/request/quarantine"
	"github.com/amaranthramp/amaranthramp/request/retry"
	"github.com/amaranthramp/amaranthramp/request/rule"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// maxIdleTime is how long an upstream connection may stay unused before it is closed.
const maxIdleTime = 5 * time.Second

// maxAttempts bounds the attempts at one request, which each go to another target.
const maxAttempts = 2

// Dispatcher sends calls to the targets of the shards that this member dispatches; it is safe for concurrent use.
type Dispatcher struct {
	views        *view.Holder
	tables       *shard.TableCache
	clock        clock.Clock
	budget       *retry.Budget
	quarantine   *quarantine.Table
	inbox        *handover.Inbox
	newExchanger ExchangerFactory
	messenger    handover.Messenger

	// probeSlotTime is the slot time that all probes of this member have used, in nanoseconds.
	probeSlotTime atomic.Int64

	mu         sync.Mutex
	schedulers map[ident.Shard]*lockedScheduler
}

// lockedScheduler is the scheduler of a shard that this member dispatches or still has requests of, with its lock.
type lockedScheduler struct {
	mu        sync.Mutex
	scheduler *scheduler
	// closed means that the dispatcher has removed the scheduler, so that it may start no more requests.
	closed bool
}

// New returns a dispatcher that always uses the newest view that the holder keeps.
func New(v *view.Holder, t *shard.TableCache, c clock.Clock, b *retry.Budget, q *quarantine.Table,
	i *handover.Inbox, g handover.Messenger, m ExchangerFactory,
) *Dispatcher {
	return &Dispatcher{
		views: v, tables: t, clock: c, budget: b, quarantine: q, inbox: i, messenger: g, newExchanger: m,
		schedulers: map[ident.Shard]*lockedScheduler{},
	}
}

// NewExchangerFactory returns a factory of exchangers that connect to targets by the given dial function.
func NewExchangerFactory(c clock.Clock, d pool.Dial) ExchangerFactory {
	return func(s *config.Service, a ident.Address) Exchanger {
		return exchange.New(pool.New(a, s.Connections, maxIdleTime, d, c), c, true)
	}
}

// Dispatch runs a call on the targets of its shard and returns the shard's final answer.
func (d *Dispatcher) Dispatch(ctx context.Context, c *call.Call) call.Answer {
	v := d.views.Get()
	o, r := d.schedulerFor(v, c.Shard)
	if r != "" {
		return withEpoch(v, call.NotRun(r))
	}
	f := quarantine.FingerprintOf(string(c.Service), c)
	if d.quarantine.Quarantined(f) {
		return withEpoch(v, call.Rejected(outcome.Quarantined, http.StatusUnprocessableEntity))
	}
	if c.Attempt <= 1 {
		d.budget.RecordFirstAttempt(c.Service, v.Config.Budget.RetryShare)
	}
	a := d.runAttempts(ctx, o, c, f)
	o.mu.Lock()
	a.Load = o.scheduler.load(d.clock.Now())
	o.mu.Unlock()
	return withEpoch(v, a)
}

func withEpoch(v *view.View, a call.Answer) call.Answer {
	a.Epoch = ident.Epoch(v.Epoch.GetNumber())
	return a
}

// runAttempts makes the attempts of one call.
func (d *Dispatcher) runAttempts(ctx context.Context, o *lockedScheduler, c *call.Call,
	f quarantine.Fingerprint,
) call.Answer {
	t := newSlotRequest(queueItem(c), c.Idempotent)
	g := d.acquire(ctx, o, t)
	var h rule.History
	for {
		if g.reservation == nil {
			a := call.NotRun(g.reason)
			a.RetryAfter = max(g.retryAfter, time.Millisecond)
			return a
		}
		a := d.attempt(ctx, o, g.reservation, c, f)
		r := h.Decide(a.Event, c.Idempotent)
		a.SetOutcome(r.Outcome)
		if !r.Retry || c.Attempt >= maxAttempts || !retryable(a.Reason) || !d.budget.Take(c.Service) {
			return a
		}
		g = d.submitRetry(o, t, g.reservation.entry.address)
		if g.reservation == nil {
			return a
		}
		c.Attempt++
	}
}

// retryable reports whether the call could succeed on another target of the same shard.
func retryable(r outcome.Reason) bool {
	switch r {
	case outcome.NoLease, outcome.NotOwner, outcome.Expired, outcome.Cancelled, outcome.Overload, outcome.NoTarget:
		return false
	default:
		return true
	}
}

func (d *Dispatcher) submitRetry(o *lockedScheduler, t *slotRequest, tried ident.Address) grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return grant{reason: outcome.NotOwner}
	}
	return o.scheduler.submitRetry(d.clock.Now(), t, tried)
}

func (d *Dispatcher) submit(o *lockedScheduler, t *slotRequest) (grant, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return grant{reason: outcome.NotOwner}, true
	}
	return o.scheduler.submit(d.clock.Now(), t)
}

// acquire reserves a slot; it waits for one as long as an answer could still arrive before the deadline and the caller
// hasn't cancelled.
func (d *Dispatcher) acquire(ctx context.Context, o *lockedScheduler, t *slotRequest) grant {
	g, done := d.submit(o, t)
	if done {
		return g
	}
	return d.awaitGrant(ctx, o, t)
}

// awaitGrant waits for the grant of a queued request, but only as long as an answer could still arrive before the
// request's deadline, so that a refusal reaches the entry process that forwarded the request while it still waits.
func (d *Dispatcher) awaitGrant(ctx context.Context, o *lockedScheduler, t *slotRequest) grant {
	ctx, cancel := context.WithTimeout(ctx, t.item.LatestStart().Sub(d.clock.Now()))
	defer cancel()
	select {
	case g := <-t.granted:
		return g
	case <-ctx.Done():
	}
	r := outcome.Cancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r = outcome.Expired
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.scheduler.withdraw(d.clock.Now(), t) {
		return grant{reason: r, retryAfter: o.scheduler.serviceTime}
	}
	// The slot was granted in the meantime. The exchange finds that the deadline has passed or that the caller has
	// cancelled before it writes.
	return <-t.granted
}
