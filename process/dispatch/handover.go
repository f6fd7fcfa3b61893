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

// handoverTimeout bounds how long the scheduler of a lost shard is kept when the handover can't be delivered to the new
// owner. It is also how long a received handover without requests in flight is kept.
const handoverTimeout = 3 * time.Second

// formerOwnership is what a former owner keeps of a shard to hand it over to the next owner.
type formerOwnership struct {
	lostAt clock.Instant
	// snapshots is the state of each target when the shard was lost.
	snapshots map[*targetEntry]target.Snapshot
	// acknowledgedBy is the member that has acknowledged a handover with reportedInFlight requests; it is empty while
	// the newest one isn't acknowledged.
	acknowledgedBy   ident.Member
	reportedInFlight int
}

// done reports whether there is nothing left to hand over, or handoverTimeout has passed.
func (p *formerOwnership) done(now clock.Instant) bool {
	return (p.acknowledgedBy != "" && p.reportedInFlight == 0) || now.Sub(p.lostAt) > handoverTimeout
}

// relinquish ends the ownership: waiting requests are refused as not run, and the state of the targets is kept only for
// the next owner, since this member can't know what the next owner does with the targets.
func (s *scheduler) relinquish(now clock.Instant) {
	s.refuseQueued(now, outcome.NotOwner)
	if s.formerOwnership != nil {
		return
	}
	s.view = nil
	s.formerOwnership = &formerOwnership{lostAt: now, snapshots: map[*targetEntry]target.Snapshot{}}
	for _, p := range s.targets {
		s.formerOwnership.snapshots[p] = p.target.Snapshot(now)
		p.target.DiscardEvidence()
	}
}

// buildHandover returns the current handover for the next owner.
func (s *scheduler) buildHandover(now clock.Instant, v *view.View) handover.Handover {
	h := handover.Handover{Shard: s.id, Member: v.Self, Epoch: releasedBeforeEpoch(v)}
	for _, p := range s.targets {
		t := handover.Target{
			Address: p.address, Snapshot: s.formerOwnership.snapshots[p], RemainingTime: max(p.latestDeadline.Sub(now), 0),
		}
		t.InFlight = p.target.InFlight(now)
		h.Targets = append(h.Targets, t)
	}
	return h
}

// releasedBeforeEpoch returns the epoch before which this member has released its shards: the newest epoch, or an
// earlier one in which this member is still open, since a deputy may then still dispatch its shards under the lease
// of that epoch.
func releasedBeforeEpoch(v *view.View) ident.Epoch {
	n := v.Epoch.GetNumber()
	for _, e := range v.Epoch.GetEarlier() {
		if slices.Contains(e.GetOpen(), string(v.Self)) {
			n = min(n, e.GetNumber())
		}
	}
	return ident.Epoch(n)
}

// applyHandover takes over the requests in flight and the target states that a former owner reported.
func (s *scheduler) applyHandover(now clock.Instant, r *handover.Received) {
	s.handovers[r.Member] = r
	for _, p := range s.targets {
		n, latestEnd := 0, clock.Instant(0)
		for m, o := range s.handovers {
			if now.Sub(o.ReceivedAt) > handoverTimeout && o.InFlight() == 0 {
				delete(s.handovers, m)
				continue
			}
			for _, t := range o.Targets {
				if end := o.ReceivedAt.Add(t.RemainingTime); t.Address == p.address && end > now {
					n, latestEnd = n+t.InFlight, max(latestEnd, end)
				}
			}
		}
		p.target.SetInherited(n, latestEnd)
		for _, t := range r.Targets {
			if t.Address == p.address {
				p.target.ApplySnapshot(t.Snapshot)
			}
		}
	}
	s.startQueued(now)
}

// PendingHandovers returns a handover for each lost shard whose new owner hasn't acknowledged the current number of
// requests in flight.
func (d *Dispatcher) PendingHandovers() []handover.Outgoing {
	var l []handover.Outgoing
	v := d.views.Get()
	t := d.tables.For(v)
	now := d.clock.Now()
	for _, o := range d.allSchedulers() {
		o.mu.Lock()
		s := o.scheduler
		m := t.Dispatcher(s.id, v)
		if s.formerOwnership == nil || m == nil || m.GetId() == string(v.Self) {
			o.mu.Unlock()
			continue
		}
		p := s.formerOwnership
		if n := s.inFlight(now); string(p.acknowledgedBy) != m.GetId() || p.reportedInFlight != n {
			p.acknowledgedBy, p.reportedInFlight = "", n
			l = append(l, handover.Outgoing{Handover: s.buildHandover(now, v), To: ident.Address(m.GetPeerAddress())})
		}
		o.mu.Unlock()
	}
	return l
}

// MarkReceived records that the owner under the handover's epoch has acknowledged the handover.
func (d *Dispatcher) MarkReceived(h *handover.Handover) {
	v := d.views.Get()
	m := d.tables.For(v).Dispatcher(h.Shard, v)
	d.mu.Lock()
	o, ok := d.schedulers[h.Shard]
	d.mu.Unlock()
	if !ok || m == nil || ident.Epoch(v.Epoch.GetNumber()) != h.Epoch {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.scheduler.formerOwnership; p != nil {
		p.acknowledgedBy, p.reportedInFlight = ident.Member(m.GetId()), h.InFlight()
	}
}

// ReceiveHandover handles a handover message from a former owner.
func (d *Dispatcher) ReceiveHandover(_ context.Context, b []byte) (proto.Message, error) {
	h, err := handover.Decode(b)
	if err != nil {
		return nil, err
	}
	d.acceptHandover(h)
	return &wire.HandoverTaken{}, nil
}

// acceptHandover stores a handover and applies it to the shard's scheduler, if there is one.
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
			o.scheduler.applyHandover(now, &handover.Received{Handover: h, ReceivedAt: now})
		}
	}
}

// HandoversDone reports whether no scheduler is left: every shard was lost and handed over, or its handover timed out.
func (d *Dispatcher) HandoversDone() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.schedulers) == 0
}
