package dispatch

import (
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/shard"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// open returns the schedule of a shard that this member owns, or the reason why it must not dispatch.
func (d *Dispatcher) open(v *view.View, id ident.Shard) (*owned, outcome.Reason) {
	h, s, ok := d.tables.Of(v).Shard(id)
	if !ok {
		return nil, outcome.NoTarget
	}
	if !d.owns(v, id) {
		return nil, outcome.NotOwner
	}
	now := d.clock.Now()
	if d.leaseUntil(v, id) <= now {
		return nil, outcome.NoLease
	}
	o := d.shard(id, now)
	o.mu.Lock()
	defer o.mu.Unlock()
	fresh := o.schedule.view == nil
	o.schedule.follow(now, v, s, h)
	if fresh {
		for _, r := range d.inbox.Of(id) {
			o.schedule.adopt(now, r)
		}
		d.ask(now, v, o)
	}
	return o, ""
}

func (d *Dispatcher) shard(id ident.Shard, now clock.Instant) *owned {
	d.mu.Lock()
	defer d.mu.Unlock()
	o, ok := d.shards[id]
	if !ok {
		o = &owned{schedule: newSchedule(id, now, d.make)}
		d.shards[id] = o
	}
	return o
}

// leaseUntil returns when the lease ends by which this member dispatches the shard; zero without one.
func (d *Dispatcher) leaseUntil(v *view.View, id ident.Shard) clock.Instant {
	return v.LeaseOf(d.tables.Of(v).Owner(id))
}

// owns reports whether this member owns the shard, or is the owner's deputy, and no earlier owner can dispatch it.
func (d *Dispatcher) owns(v *view.View, id ident.Shard) bool {
	t := d.tables.Of(v)
	m := t.Dispatcher(id, v)
	if m == nil || m.GetId() != string(v.Self) {
		return false
	}
	h, _, ok := t.Shard(id)
	return ok && shard.ReadyAfter(id, h.DataCentre, v, d.inbox.Released)
}

// all returns the schedules that there are.
func (d *Dispatcher) all() []*owned {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := make([]*owned, 0, len(d.shards))
	for _, o := range d.shards {
		l = append(l, o)
	}
	return l
}

// Tick lets every schedule follow the newest view: requests that wait for a shard that now belongs to another
// member are refused as not run, and what is known of its targets is dropped.
func (d *Dispatcher) Tick() {
	v := d.views.Get()
	for _, o := range d.all() {
		d.tick(v, o)
	}
}

func (d *Dispatcher) tick(v *view.View, o *owned) {
	now := d.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.schedule
	h, c, ok := d.tables.Of(v).Shard(s.id)
	if ok && d.owns(v, s.id) {
		s.follow(now, v, c, h)
		s.pump(now)
		return
	}
	s.part(now)
	if s.inFlight(now) == 0 && s.parting.over(now) {
		d.drop(o)
	}
}

// drop ends a schedule; a request that has just opened it is refused.
func (d *Dispatcher) drop(o *owned) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o.closed = true
	delete(d.shards, o.schedule.id)
}

// InFlight returns the number of requests that run on upstreams now.
func (d *Dispatcher) InFlight() int {
	n := 0
	now := d.clock.Now()
	for _, o := range d.all() {
		o.mu.Lock()
		n += o.schedule.inFlight(now)
		o.mu.Unlock()
	}
	return n
}
