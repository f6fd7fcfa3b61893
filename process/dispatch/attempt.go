package dispatch

import (
	"context"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/target"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/request/quarantine"
	"github.com/amaranthramp/amaranthramp/request/queue"
)

// minLeaseForUnwarmed is how long a lease must still last for a request to a target that isn't warm, unless the
// request's deadline is earlier.
const minLeaseForUnwarmed = 500 * time.Millisecond

func queueItem(c *call.Call) *queue.Item {
	return queue.NewItem(c.Class, c.Weight, c.Deadline)
}

// attempt sends the call to the target on which a slot was reserved for it.
func (d *Dispatcher) attempt(ctx context.Context, o *lockedScheduler, b *reservation, c *call.Call,
	f quarantine.Fingerprint,
) call.Answer {
	p := b.entry
	writtenAt := b.startedAt
	d.quarantine.Begin(f, p.name)
	x := p.exchanger.Do(ctx, c, c.Header.Clone(), func() outcome.Reason {
		r := d.checkBeforeWrite(o, c, p)
		writtenAt = d.clock.Now()
		return r
	})
	d.quarantine.End(f, p.name, x.Event)
	now := d.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if x.Header.Get(call.HeaderLeaving) != "" {
		p.announcedLeavingAt = now
		p.updateLeaving(now)
	}
	m := target.SampleOf(x.Event, now.Sub(writtenAt), x.Header.Get(call.HeaderIncarnation))
	o.scheduler.release(now, b, m)
	return answerOf(x, p.name)
}

// checkBeforeWrite checks the lease and the target immediately before the first byte is written, so that a process that
// was paused sends nothing after its lease has expired and a target that has begun to leave gets no request.
//
// A request to a target that isn't warm needs a lease that lasts about as long as the request: an owner that crashes or
// is paused sends no handover, and its successor could start another request on the target at the same time.
func (d *Dispatcher) checkBeforeWrite(o *lockedScheduler, c *call.Call, p *targetEntry) outcome.Reason {
	v := d.views.Get()
	h, s, ok := d.tables.For(v).Shard(c.Shard)
	if !ok || !d.mayDispatch(v, c.Shard) {
		return outcome.NotOwner
	}
	leaseEnd := d.leaseEnd(v, c.Shard)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := d.clock.Now()
	if leaseEnd <= now {
		return outcome.NoLease
	}
	o.scheduler.applyView(now, v, s, h)
	if st := p.target.State(); st == target.Leaving || st == target.Gone {
		return outcome.NoTarget
	}
	if p.target.State() != target.Warm && leaseEnd.Sub(now) < min(c.Deadline.Sub(now), minLeaseForUnwarmed) {
		return outcome.NoLease
	}
	return ""
}

func answerOf(x exchange.Result, u ident.Upstream) call.Answer {
	switch e := x.Event.(type) {
	case outcome.Completed:
		return call.Answer{
			Outcome: outcome.Done, Event: e, Status: x.Status, Header: x.Header, Body: x.Body, Upstream: u,
		}
	case outcome.NeverWritten:
		return call.NotRun(e.Reason)
	case outcome.Refused:
		a := call.NotRun(e.Reason)
		a.Event = e
		return a
	case outcome.Broken:
		return call.Unknown(e.Reason)
	default:
		return call.Unknown(outcome.Reset)
	}
}
