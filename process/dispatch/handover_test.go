package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/process/handover"
	"github.com/amaranthramp/amaranthramp/process/target"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/queue"
	"github.com/amaranthramp/amaranthramp/wire"
)

// ownerPair is a former owner of a shard and the next one.
type ownerPair struct {
	former, next *harness
}

// newOwnerPair returns a pair whose former owner has answered n requests and has one more in flight.
func newOwnerPair(n int) (*ownerPair, *reservation) {
	p := &ownerPair{former: newHarness(1), next: newHarness(1)}
	p.former.other = p.next
	for range n {
		p.former.call(true)
	}
	o, _ := p.former.dispatcher.schedulerFor(p.former.views.Get(), "notes/here/0")
	k := newSlotRequest(queue.NewItem("Note", 1, p.former.clock.Now().Add(300*time.Millisecond)), true)
	g, _ := p.former.dispatcher.submit(o, k)
	return p, g.reservation
}

// changeOwner makes the next member the owner under epoch 8, while the lease of the former owner may still be valid.
// The view of the former owner lists it as open in epoch 7 only if deputy is true: a deputy may then still dispatch its
// shards under that lease.
func (p *ownerPair) changeOwner(deputy bool) {
	f := func(v *view.View) {
		you := []*wire.Member{{Id: "you", DataCentre: "here", PeerAddress: "you"}}
		me := []*wire.Member{{Id: "me", DataCentre: "here", PeerAddress: "me"}}
		v.Epoch = &wire.Epoch{
			Number: 8, Members: you, Earlier: []*wire.EarlierEpoch{{Number: 7, Members: me, Open: []string{"me"}}},
		}
	}
	p.former.setView(func(v *view.View) {
		f(v)
		if !deputy {
			v.Epoch.Earlier = nil
		}
	}, 1)
	p.next.setView(func(v *view.View) { f(v); v.Self = "you" }, 1)
	p.former.dispatcher.refreshAll()
}

// TestHandover checks whether the next owner may dispatch, and the state and free slots of its target. These depend on
// whether the former owner has sent a handover, and on whether its last request has ended.
func TestHandover(t *testing.T) {
	rows := []struct {
		name        string
		answers     int
		sent        bool
		ended       bool
		deputy      bool
		mayDispatch bool
		state       target.State
		freeSlots   int
	}{
		{"no handover, lease may be valid", 3 * minEvidence, false, false, false, false, "", 0},
		{"handover, a deputy may hold the lease", 3 * minEvidence, true, false, true, false, "", 0},
		{"cold, one in flight", 1, true, false, false, true, target.Cold, 0},
		{"cold, ended", 1, true, true, false, true, target.Cold, cold},
		{"warm, one in flight", 4 * minEvidence, true, false, false, true, target.Warm, slots - 1},
		{"warm, ended", 4 * minEvidence, true, true, false, true, target.Warm, slots},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			p, b := newOwnerPair(r.answers)
			p.changeOwner(r.deputy)
			s := handover.NewSender(p.former.dispatcher, p.former)
			if r.sent {
				s.Send(context.Background())
			}
			if r.ended {
				o := p.former.dispatcher.allSchedulers()[0]
				o.scheduler.release(p.former.clock.Now(), b, target.NoEvidence{})
				s.Send(context.Background())
			}
			o, reason := p.next.dispatcher.schedulerFor(p.next.views.Get(), "notes/here/0")
			if (reason == "") != r.mayDispatch {
				t.Fatalf("next owner may dispatch: %t (reason %q), want %t", reason == "", reason, r.mayDispatch)
			}
			if !r.mayDispatch {
				return
			}
			g := o.scheduler.targets[0].target
			if g.State() != r.state || g.FreeSlots(p.next.clock.Now()) != r.freeSlots {
				t.Errorf("state %s with %d free slots, want %s with %d",
					g.State(), g.FreeSlots(p.next.clock.Now()), r.state, r.freeSlots)
			}
			p.former.dispatcher.refreshAll()
			if p.former.dispatcher.HandoversDone() != r.ended {
				t.Errorf("HandoversDone() = %t, want %t", p.former.dispatcher.HandoversDone(), r.ended)
			}
		})
	}
}

// TestQueryFormerOwners checks how many requests a new owner may start, by what it learns about the requests that a
// former owner still has in flight. A warm target with one such request takes as many more as it has slots, which is
// one request beyond the slots in total.
func TestQueryFormerOwners(t *testing.T) {
	rows := []struct {
		name       string
		reachable  bool
		epochKnown bool
		idle       bool
		elapsed    time.Duration
		started    int
	}{
		{"former owner answers", true, true, false, 0, slots},
		{"former owner doesn't know the new epoch", true, false, false, 0, 0},
		{"former owner doesn't know the new epoch and is idle", true, false, true, 0, 0},
		{"former owner is idle", true, true, true, 0, cold},
		{"former owner is unreachable", false, true, false, 0, 0},
		{"former owner is unreachable beyond the timeout", false, true, false, handoverQueryTimeout, cold},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			p, _ := newOwnerPair(4 * minEvidence)
			if r.idle {
				p.former = newHarness(1)
			}
			old := p.former.views.Get()
			p.changeOwner(false)
			if !r.epochKnown {
				p.former.views.Set(old)
			}
			if r.reachable {
				p.next.other = p.former
			}
			you := *p.next.views.Get()
			you.Epoch = &wire.Epoch{Number: 8, Members: you.Epoch.Members, Past: []*wire.PastEpoch{{
				Number: 7, Members: you.Epoch.Earlier[0].Members,
			}}}
			p.next.views.Set(&you)
			d := p.next.dispatcher
			o, reason := d.schedulerFor(p.next.views.Get(), "notes/here/0")
			if reason != "" {
				t.Fatalf("next owner may not dispatch (reason %q), want that it may", reason)
			}
			if d.queryHandovers(context.Background(), o, 8, d.formerOwners(&you, "notes/here/0")) {
				d.unblock(o)
			}
			p.next.clock.Advance(r.elapsed)
			now := p.next.clock.Now()
			n := 0
			o.mu.Lock()
			defer o.mu.Unlock()
			next := func() *targetEntry { return o.scheduler.selectTarget(now, true, "") }
			for q := next(); q != nil && n < 2*slots; q = next() {
				q.reserve(now, now)
				n++
			}
			if n != r.started {
				t.Errorf("%d requests of the next owner could start, want %d", n, r.started)
			}
		})
	}
}
