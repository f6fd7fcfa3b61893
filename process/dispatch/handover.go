package dispatch

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/handover"
	"github.com/amaranthramp/amaranthramp/process/target"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/wire"
)

// handoverTimeout bounds how long a lost shard is kept because its new owner can't be told.
const handoverTimeout = 3 * time.Second

// lostOwnership is what a former owner tells the next.
type lostOwnership struct {
	lostAt clock.Instant
	// snapshots is what was known of each target when the shard was lost.
	snapshots map[*targetEntry]target.Snapshot
	// acknowledgedBy is the member that knows all up to inFlight requests.
	acknowledgedBy   ident.Member
	reportedInFlight int
}

// done reports whether there is nothing left to tell, or no hope to tell it.
func (p *lostOwnership) done(now clock.Instant) bool {
	return (p.acknowledgedBy != "" && p.reportedInFlight == 0) || now.Sub(p.lostAt) > handoverTimeout
}

// relinquish ends the ownership: requests that wait are refused as not run, and what is known is kept for the next owner
// only, since this member can't know what the next one does with the targets.
func (s *scheduler) relinquish(now clock.Instant) {
	s.refuseQueued(now, outcome.NotOwner)
	if s.lost != nil {
		return
	}
	s.view = nil
	s.lost = &lostOwnership{lostAt: now, snapshots: map[*targetEntry]target.Snapshot{}}
	for _, p := range s.targets {
		s.lost.snapshots[p] = p.target.Snapshot(now)
		p.target.DiscardEvidence()
	}
}

// buildHandover returns what the next owner is to know now.
func (s *scheduler) buildHandover(now clock.Instant, v *view.View) handover.Handover {
	h := handover.Handover{Shard: s.id, Member: v.Self, Epoch: releasedBefore(v)}
	for _, p := range s.targets {
		t := handover.Target{Address: p.address, Snapshot: s.lost.snapshots[p], Left: max(p.busyUntil.Sub(now), 0)}
		t.InFlight = p.target.InFlight(now)
		h.Targets = append(h.Targets, t)
	}
	return h
}

// releasedBefore returns the epoch before which no tenure of this member is open: a deputy may still hold a lease for it.
func releasedBefore(v *view.View) ident.Epoch {
	n := v.Epoch.GetNumber()
	for _, e := range v.Epoch.GetEarlier() {
		if slices.Contains(e.GetOpen(), string(v.Self)) {
			n = min(n, e.GetNumber())
		}
	}
	return ident.Epoch(n)
}

// applyHandover takes over what a former owner told.
func (s *scheduler) applyHandover(now clock.Instant, r *handover.Received) {
	s.handovers[r.Member] = r
	for _, p := range s.targets {
		n, until := 0, clock.Instant(0)
		for m, o := range s.handovers {
			if now.Sub(o.At) > handoverTimeout && o.InFlight() == 0 {
				delete(s.handovers, m)
				continue
			}
			for _, t := range o.Targets {
				if end := o.At.Add(t.Left); t.Address == p.address && end > now {
					n, until = n+t.InFlight, max(until, end)
				}
			}
		}
		p.target.SetInherited(n, until)
		for _, t := range r.Targets {
			if t.Address == p.address {
				p.target.ApplySnapshot(t.Snapshot)
			}
		}
	}
	s.startQueued(now)
}

// Lost returns a handover for each shard that was lost and whose new owner doesn't know all yet.
func (d *Dispatcher) Lost() []handover.Outgoing {
	var l []handover.Outgoing
	v := d.views.Get()
	t := d.tables.Of(v)
	now := d.clock.Now()
	for _, o := range d.allSchedulers() {
		o.mu.Lock()
		s := o.scheduler
		m := t.Dispatcher(s.id, v)
		if s.lost == nil || m == nil || m.GetId() == string(v.Self) {
			o.mu.Unlock()
			continue
		}
		p := s.lost
		if n := s.inFlight(now); string(p.acknowledgedBy) != m.GetId() || p.reportedInFlight != n {
			p.acknowledgedBy, p.reportedInFlight = "", n
			l = append(l, handover.Outgoing{Handover: s.buildHandover(now, v), To: ident.Address(m.GetPeerAddress())})
		}
		o.mu.Unlock()
	}
	return l
}

// Told notes that the owner under the handover's epoch has taken it.
func (d *Dispatcher) Told(h *handover.Handover) {
	v := d.views.Get()
	m := d.tables.Of(v).Dispatcher(h.Shard, v)
	d.mu.Lock()
	o, ok := d.schedulers[h.Shard]
	d.mu.Unlock()
	if !ok || m == nil || ident.Epoch(v.Epoch.GetNumber()) != h.Epoch {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.scheduler.lost; p != nil {
		p.acknowledgedBy, p.reportedInFlight = ident.Member(m.GetId()), h.InFlight()
	}
}

// Receive takes a handover from a former owner.
func (d *Dispatcher) Receive(_ context.Context, b []byte) (proto.Message, error) {
	h, err := handover.Decode(b)
	if err != nil {
		return nil, err
	}
	d.acceptHandover(h)
	return &wire.HandoverTaken{}, nil
}

// acceptHandover notes a handover and lets the schedule of its shard know.
func (d *Dispatcher) acceptHandover(h *handover.Handover) {
	d.inbox.Put(h)
	d.mu.Lock()
	o, ok := d.schedulers[h.Shard]
	d.mu.Unlock()
	if ok {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.scheduler.view != nil {
			now := d.clock.Now()
			o.scheduler.applyHandover(now, &handover.Received{Handover: h, At: now})
		}
	}
}

// Parted reports whether every shard was lost and its new owner knows all.
func (d *Dispatcher) Parted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.schedulers) == 0
}
