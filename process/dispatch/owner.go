package dispatch

import (
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/shard"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// schedulerFor returns the scheduler of a shard, or the reason why this member must not dispatch the shard.
func (d *Dispatcher) schedulerFor(v *view.View, id ident.Shard) (*lockedScheduler, outcome.Reason) {
	h, s, ok := d.tables.For(v).Shard(id)
	if !ok {
		return nil, outcome.NoTarget
	}
	if !d.mayDispatch(v, id) {
		return nil, outcome.NotOwner
	}
	now := d.clock.Now()
	if d.leaseEnd(v, id) <= now {
		return nil, outcome.NoLease
	}
	o := d.getOrCreate(id, now)
	o.mu.Lock()
	defer o.mu.Unlock()
	firstView := o.scheduler.view == nil
	o.scheduler.applyView(now, v, s, h)
	if firstView {
		for _, r := range d.inbox.ForShard(id) {
			o.scheduler.applyHandover(now, r)
		}
		d.queryFormerOwners(now, v, o)
	}
	return o, ""
}

func (d *Dispatcher) getOrCreate(id ident.Shard, now clock.Instant) *lockedScheduler {
	d.mu.Lock()
	defer d.mu.Unlock()
	o, ok := d.schedulers[id]
	if !ok {
		o = &lockedScheduler{scheduler: newScheduler(id, now, d.newExchanger)}
		d.schedulers[id] = o
	}
	return o
}

// leaseEnd returns the end of the lease under which this member dispatches the shard, or zero without a lease.
func (d *Dispatcher) leaseEnd(v *view.View, id ident.Shard) clock.Instant {
	return v.LeaseEndFor(d.tables.For(v).Owner(id))
}

// mayDispatch reports whether this member owns the shard, or is the owner's deputy, and no earlier owner can still
// dispatch it. It doesn't check this member's own lease.
func (d *Dispatcher) mayDispatch(v *view.View, id ident.Shard) bool {
	t := d.tables.For(v)
	m := t.Dispatcher(id, v)
	if m == nil || m.GetId() != string(v.Self) {
		return false
	}
	h, _, ok := t.Shard(id)
	return ok && shard.ReadyWithReleases(id, h.DataCentre, v, d.inbox.HasReleased)
}

// allSchedulers returns all schedulers, in no order.
func (d *Dispatcher) allSchedulers() []*lockedScheduler {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := make([]*lockedScheduler, 0, len(d.schedulers))
	for _, o := range d.schedulers {
		l = append(l, o)
	}
	return l
}

// refreshAll applies the newest view to every scheduler. Requests that wait for a shard that now belongs to another
// member are refused as not run, and the evidence about its targets is discarded.
func (d *Dispatcher) refreshAll() {
	v := d.views.Get()
	for _, o := range d.allSchedulers() {
		d.refresh(v, o)
	}
}

func (d *Dispatcher) refresh(v *view.View, o *lockedScheduler) {
	now := d.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.scheduler
	h, c, ok := d.tables.For(v).Shard(s.id)
	if ok && d.mayDispatch(v, s.id) {
		s.applyView(now, v, c, h)
		s.startQueued(now)
		return
	}
	s.relinquish(now)
	if s.inFlight(now) == 0 && s.formerOwnership.done(now) {
		d.removeScheduler(o)
	}
}

// removeScheduler closes and removes a scheduler. A request that has just looked it up is refused.
func (d *Dispatcher) removeScheduler(o *lockedScheduler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o.closed = true
	delete(d.schedulers, o.scheduler.id)
}

// InFlight returns the number of requests that are in flight at upstreams.
func (d *Dispatcher) InFlight() int {
	n := 0
	now := d.clock.Now()
	for _, o := range d.allSchedulers() {
		o.mu.Lock()
		n += o.scheduler.inFlight(now)
		o.mu.Unlock()
	}
	return n
}
