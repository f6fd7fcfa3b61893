package membership

import (
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/process/lease"
)

// servedAgain is the bound within which the shards of a killed VM are served again.
const servedAgain = 3 * time.Second

// margin is what real processes on a loaded machine need beside the time of the protocol.
const margin = 500 * time.Millisecond

// settled is how long a fleet gets to start or to return to rest.
const settled = 5 * time.Second

// Every shard is dispatched by somebody again within the bound after each fault.
func TestServedAgain(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		fault func(*fleet)
		bound time.Duration
	}{
		{"nothing", func(*fleet) {}, step},
		{"VM killed", func(f *fleet) { f.owner(0).kill() }, servedAgain},
		{"two VMs killed", func(f *fleet) {
			a, b := f.owner(0), f.owner(1)
			a.kill()
			b.kill()
		}, servedAgain},
		{"entry process killed", func(f *fleet) { f.owner(0).killEntry() }, servedAgain},
		{"entry process paused", func(f *fleet) { f.owner(0).frozen = true }, servedAgain - margin},
		{"link between the processes lost", func(f *fleet) { f.owner(0).unlink() }, servedAgain},
		{"control process killed", func(f *fleet) { f.owner(0).killControl() }, servedAgain},
		{"control process restarted", func(f *fleet) {
			n := f.owner(0)
			n.killControl()
			n.startControl()
		}, servedAgain},
		{"control process paused", func(f *fleet) { f.owner(0).paused = true }, servedAgain},
		{"VM cut off", func(f *fleet) {
			n := f.owner(0)
			f.isolate(n.index)
			n.blind = true
		}, servedAgain},
		{"VM cut off from other VMs only", func(f *fleet) { f.isolate(f.owner(0).index) }, servedAgain},
		{"data centre killed", func(f *fleet) {
			for i, n := range f.nodes {
				if i%3 == 0 {
					n.kill()
				}
			}
		}, servedAgain},
		{"planned stop", func(f *fleet) { f.owner(0).run(f.owner(0).control.leave) }, time.Second},
		{"platform down", func(f *fleet) { f.down = true }, step},
		{"platform down and VM killed", func(f *fleet) {
			f.down = true
			f.owner(0).kill()
		}, servedAgain},
		{"platform down and two VMs killed", func(f *fleet) {
			f.down = true
			a, b := f.owner(0), f.owner(1)
			a.kill()
			b.kill()
		}, servedAgain},
		{"platform down and VM cut off", func(f *fleet) {
			f.down = true
			f.isolate(f.owner(0).index)
		}, servedAgain},
		{"a fifth of the datagrams lost", func(f *fleet) { f.loss = 20 }, step},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for s := range uint64(2) {
				f := newFleet(seeded(s), 13, 3, flaws{})
				must(t, f.advance(settled))
				c.fault(f)
				must(t, f.advance(c.bound))
				for range 20 {
					if n := f.served(); n != len(shards) {
						t.Fatalf("seed %d at %s: %d of %d shards are served", s, f.now, n, len(shards))
					}
					must(t, f.advance(100*time.Millisecond))
				}
			}
		})
	}
}

// The lease of a paused entry is renewed no more once a report is late, long before the member is given up.
func TestPausedEntryLease(t *testing.T) {
	t.Parallel()
	const bound = lease.Renewal + reportTimeout + tick + lease.Term
	f := newFleet(seeded(1), 7, 3, flaws{})
	must(t, f.advance(settled))
	// Without the platform the member stays in the epoch, so that its lease can be looked at afterwards.
	f.down = true
	n := f.owner(0)
	n.frozen = true
	start := n.clock()
	must(t, f.advance(settled))
	if d := n.control.holder.Until().Sub(start); d > bound {
		t.Errorf("the lease lasted %s after the pause began, want at most %s", d, bound)
	}
}

// An entry that was paused for long takes part again once it goes on.
func TestPausedEntryReturns(t *testing.T) {
	t.Parallel()
	f := newFleet(seeded(1), 7, 3, flaws{})
	must(t, f.advance(settled))
	n := f.owner(0)
	n.frozen = true
	must(t, f.advance(settled))
	if n.control.isMember() {
		t.Error("the member is still in the epoch")
	}
	n.thaw()
	must(t, f.advance(servedAgain))
	if !n.control.isMember() || f.served() != len(shards) {
		t.Errorf("member: %t, shards served: %d", n.control.isMember(), f.served())
	}
}

// A fleet is whole again after a long outage of the platform during which members died.
func TestServedAfterOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(seeded(1), 7, 3, flaws{})
	must(t, f.advance(settled))
	f.down = true
	f.owner(0).kill()
	must(t, f.advance(time.Minute))
	f.down = false
	must(t, f.advance(servedAgain))
	if n := f.served(); n != len(shards) {
		t.Errorf("%d of %d shards are served", n, len(shards))
	}
	if e := f.owner(0).control.epoch; len(e.GetMembers()) != 6 {
		t.Errorf("members: %v", e.GetMembers())
	}
}

// Many VMs that start together join in few writes, and a fleet at rest writes nothing.
func TestFewWrites(t *testing.T) {
	t.Parallel()
	f := newFleet(seeded(1), 13, 4, flaws{})
	must(t, f.advance(settled))
	if n := len(f.object.GetMembers()); n != 13 || f.puts > 6 {
		t.Errorf("%d members after %d writes", n, f.puts)
	}
	p := f.puts
	must(t, f.advance(time.Minute))
	if f.puts != p || len(f.object.GetEarlier()) > 0 {
		t.Errorf("%d writes at rest, unclosed: %v", f.puts-p, f.object.GetEarlier())
	}
}

// owner returns the node that dispatches a shard.
func (f *fleet) owner(i int) *node {
	return f.nodes[f.owners(shards[i])[0]]
}

func (n *node) kill() {
	n.killControl()
	n.killEntry()
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// A member whose entry does not follow to a new configuration dispatches nothing after the bound; all others go on.
func TestOutdatedOwnerStops(t *testing.T) {
	t.Parallel()
	const inForce = 3 * time.Second
	for _, c := range []struct {
		name  string
		fault func(*fleet)
	}{
		{"entry does not follow", func(*fleet) {}},
		{"entry's VM is cut off", func(f *fleet) { f.isolate(0) }},
		{"entry's VM reaches one other", func(f *fleet) {
			f.isolate(0)
			f.cut[[2]int{0, 1}], f.cut[[2]int{1, 0}] = false, false
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(seeded(1), 7, 3, flaws{})
			must(t, f.advance(settled))
			c.fault(f)
			for _, n := range f.nodes[1:] {
				n.version = 2
				n.control.learn(n.clock(), 2)
				n.control.enforce(n.clock(), n.view.Epoch.GetNumber(), 2)
			}
			must(t, f.advance(inForce))
			for range 30 {
				for _, n := range f.nodes {
					if n.index == 0 && n.view.LeaseUntil > n.clock() {
						t.Fatalf("at %s the outdated owner still has a lease", f.now)
					}
				}
				must(t, f.advance(100*time.Millisecond))
			}
			if n := f.served(); n == 0 {
				t.Error("nobody dispatches")
			}
		})
	}
}

// A planned stop ends only when the entry uses the epoch without its member, and no shard waits for a lease to run out.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	f := newFleet(seeded(1), 7, 3, flaws{})
	must(t, f.advance(settled))
	n := f.owner(0)
	n.run(n.control.leave)
	for i := 0; !n.control.left(); i++ {
		if i > 100 {
			t.Fatal("the member has not left after a second")
		}
		must(t, f.advance(step))
	}
	if contains(n.view.Epoch, n.self.GetId()) {
		t.Error("the entry still uses an epoch with its member")
	}
	must(t, f.advance(200*time.Millisecond))
	if s := f.served(); s != len(shards) {
		t.Errorf("%d of %d shards are served", s, len(shards))
	}
	must(t, f.advance(settled))
	if e := f.object; len(e.GetMembers()) != len(f.nodes)-1 || e.GetNumber() != n.view.Epoch.GetNumber() {
		t.Errorf("epoch %d has %d members", e.GetNumber(), len(e.GetMembers()))
	}
}

// A member that reaches the platform but no other member seldom adds itself, since that takes its shards away from
// living owners until it is removed again; once it is heard it is back at once.
func TestCutOffMemberReturns(t *testing.T) {
	t.Parallel()
	f := newFleet(seeded(1), 7, 3, flaws{})
	must(t, f.advance(settled))
	f.isolate(0)
	e := f.object.GetNumber()
	must(t, f.advance(time.Minute))
	// It is removed, adds itself once, and is removed again.
	if n := f.object.GetNumber() - e; n > 3 {
		t.Errorf("%d epochs in a minute", n)
	}
	clear(f.cut)
	must(t, f.advance(time.Second))
	if !f.nodes[0].control.isMember() {
		t.Error("the member is not back")
	}
}
