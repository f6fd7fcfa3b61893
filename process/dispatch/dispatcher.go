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

// maxAttempts bounds the targets that one request is sent to.
const maxAttempts = 2

// Dispatcher starts calls on the targets of the shards that this member owns; it is safe for concurrent use.
type Dispatcher struct {
	views        *view.Holder
	tables       *shard.Tables
	clock        clock.Clock
	budget       *retry.Budget
	quarantine   *quarantine.Table
	inbox        *handover.Inbox
	newExchanger ExchangerFactory
	messenger    handover.Messenger

	// probeTime is the slot-time that probes used, in nanoseconds.
	probeTime atomic.Int64

	mu         sync.Mutex
	schedulers map[ident.Shard]*lockedScheduler
}

// lockedScheduler is the schedule of a shard that this member owns or still has requests of.
type lockedScheduler struct {
	mu        sync.Mutex
	scheduler *scheduler
	// closed means that the dispatcher has dropped the schedule, so that nothing may start on it any more.
	closed bool
}

// New returns a dispatcher that follows the given views.
func New(v *view.Holder, t *shard.Tables, c clock.Clock, b *retry.Budget, q *quarantine.Table,
	i *handover.Inbox, g handover.Messenger, m ExchangerFactory,
) *Dispatcher {
	return &Dispatcher{
		views: v, tables: t, clock: c, budget: b, quarantine: q, inbox: i, messenger: g, newExchanger: m,
		schedulers: map[ident.Shard]*lockedScheduler{},
	}
}

// DialTargets returns exchangers over TCP.
func DialTargets(c clock.Clock, d pool.Dial) ExchangerFactory {
	return func(s *config.Service, a ident.Address) Exchanger {
		return exchange.New(pool.New(a, s.Connections, maxIdleTime, d, c), c, true)
	}
}

// Dispatch runs a call on a target of its shard and returns its final answer within this shard.
func (d *Dispatcher) Dispatch(ctx context.Context, c *call.Call) call.Answer {
	v := d.views.Get()
	o, r := d.schedulerFor(v, c.Shard)
	if r != "" {
		return withEpoch(v, call.NotRun(r))
	}
	f := quarantine.Of(c)
	if d.quarantine.Barred(f) {
		return withEpoch(v, call.GivenUp(outcome.Quarantined, http.StatusUnprocessableEntity))
	}
	if c.Attempt <= 1 {
		d.budget.First(c.Service, v.Config.Budget.RetryShare)
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
		a.Correct(r.Outcome)
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

// retryable tells whether another target of the same shard could fare better.
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

// acquire waits for a place until the deadline or until the caller gives up.
func (d *Dispatcher) acquire(ctx context.Context, o *lockedScheduler, t *slotRequest) grant {
	g, done := d.submit(o, t)
	if done {
		return g
	}
	return d.awaitGrant(ctx, o, t)
}

// awaitGrant waits for the grant of a queued ticket, but no longer than an answer could still come in time, so that the
// refusal reaches the entry before it gives up the owner.
func (d *Dispatcher) awaitGrant(ctx context.Context, o *lockedScheduler, t *slotRequest) grant {
	ctx, cancel := context.WithTimeout(ctx, t.item.Latest().Sub(d.clock.Now()))
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
	// A grant came at the same moment. The exchange finds the deadline or the caller gone before it writes.
	return <-t.granted
}
