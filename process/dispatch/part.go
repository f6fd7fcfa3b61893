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

// partTime bounds how long a lost shard is kept because its new owner can't be told.
const partTime = 3 * time.Second

// parting is what a former owner tells the next.
type parting struct {
	at clock.Instant
	// trust is what was known of each target when the shard was lost.
	trust map[*place]target.Snapshot
	// told is the member that knows all up to inFlight requests.
	told     ident.Member
	inFlight int
}

// over reports whether there is nothing left to tell, or no hope to tell it.
func (p *parting) over(now clock.Instant) bool {
	return (p.told != "" && p.inFlight == 0) || now.Sub(p.at) > partTime
}

// part ends the ownership: requests that wait are refused as not run, and what is known is kept for the next owner
// only, since this member can't know what the next one does with the targets.
func (s *schedule) part(now clock.Instant) {
	s.flush(now, outcome.NotOwner)
	if s.parting != nil {
		return
	}
	s.view = nil
	s.parting = &parting{at: now, trust: map[*place]target.Snapshot{}}
	for _, p := range s.places {
		s.parting.trust[p] = p.target.Snapshot(now)
		p.target.Forget()
	}
}

// handover returns what the next owner is to know now.
func (s *schedule) handover(now clock.Instant, v *view.View) handover.Handover {
	h := handover.Handover{Shard: s.id, Member: v.Self, Epoch: closedBefore(v)}
	for _, p := range s.places {
		t := handover.Target{Address: p.address, Snapshot: s.parting.trust[p], Left: max(p.until.Sub(now), 0)}
		t.InFlight = p.target.InFlight(now)
		h.Targets = append(h.Targets, t)
	}
	return h
}

// closedBefore returns the epoch before which no tenure of this member is open: a deputy may still hold a lease for it.
func closedBefore(v *view.View) ident.Epoch {
	n := v.Epoch.GetNumber()
	for _, e := range v.Epoch.GetEarlier() {
		if slices.Contains(e.GetOpen(), string(v.Self)) {
			n = min(n, e.GetNumber())
		}
	}
	return ident.Epoch(n)
}

// adopt takes over what a former owner told.
func (s *schedule) adopt(now clock.Instant, r *handover.Received) {
	s.heirs[r.Member] = r
	for _, p := range s.places {
		n, until := 0, clock.Instant(0)
		for m, o := range s.heirs {
			if now.Sub(o.At) > partTime && o.InFlight() == 0 {
				delete(s.heirs, m)
				continue
			}
			for _, t := range o.Targets {
				if end := o.At.Add(t.Left); t.Address == p.address && end > now {
					n, until = n+t.InFlight, max(until, end)
				}
			}
		}
		p.target.Inherit(n, until)
		for _, t := range r.Targets {
			if t.Address == p.address {
				p.target.Adopt(t.Snapshot)
			}
		}
	}
	s.pump(now)
}

// Lost returns a handover for each shard that was lost and whose new owner doesn't know all yet.
func (d *Dispatcher) Lost() []handover.Outgoing {
	var l []handover.Outgoing
	v := d.views.Get()
	t := d.tables.Of(v)
	now := d.clock.Now()
	for _, o := range d.all() {
		o.mu.Lock()
		s := o.schedule
		m := t.Dispatcher(s.id, v)
		if s.parting == nil || m == nil || m.GetId() == string(v.Self) {
			o.mu.Unlock()
			continue
		}
		p := s.parting
		if n := s.inFlight(now); string(p.told) != m.GetId() || p.inFlight != n {
			p.told, p.inFlight = "", n
			l = append(l, handover.Outgoing{Handover: s.handover(now, v), To: ident.Address(m.GetPeerAddress())})
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
	o, ok := d.shards[h.Shard]
	d.mu.Unlock()
	if !ok || m == nil || ident.Epoch(v.Epoch.GetNumber()) != h.Epoch {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.schedule.parting; p != nil {
		p.told, p.inFlight = ident.Member(m.GetId()), h.InFlight()
	}
}

// Receive takes a handover from a former owner.
func (d *Dispatcher) Receive(_ context.Context, b []byte) (proto.Message, error) {
	h, err := handover.Decode(b)
	if err != nil {
		return nil, err
	}
	d.take(h)
	return &wire.HandoverTaken{}, nil
}

// take notes a handover and lets the schedule of its shard know.
func (d *Dispatcher) take(h *handover.Handover) {
	d.inbox.Put(h)
	d.mu.Lock()
	o, ok := d.shards[h.Shard]
	d.mu.Unlock()
	if ok {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.schedule.view != nil {
			now := d.clock.Now()
			o.schedule.adopt(now, &handover.Received{Handover: h, At: now})
		}
	}
}

// Parted reports whether every shard was lost and its new owner knows all.
func (d *Dispatcher) Parted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.shards) == 0
}
