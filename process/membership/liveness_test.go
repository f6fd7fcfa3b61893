package membership

import (
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/process/lease"
)

// servedAgain is the bound within which the shards of a killed VM are served again.
const recoveryBound = 3 * time.Second

// margin is what real processes on a loaded machine need beside the time of the protocol.
const processMargin = 500 * time.Millisecond

// settled is how long a fleet gets to start or to return to rest.
const settleTime = 5 * time.Second

// Every shard is dispatched by somebody again within the bound after each fault.
func TestRecoveryAfterFault(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		fault func(*fleet)
		bound time.Duration
	}{
		{"nothing", func(*fleet) {}, step},
		{"VM killed", func(f *fleet) { f.ownerNode(0).kill() }, recoveryBound},
		{"two VMs killed", func(f *fleet) {
			a, b := f.ownerNode(0), f.ownerNode(1)
			a.kill()
			b.kill()
		}, recoveryBound},
		{"entry process killed", func(f *fleet) { f.ownerNode(0).killEntry() }, recoveryBound},
		{"entry process paused", func(f *fleet) { f.ownerNode(0).entryPaused = true }, recoveryBound - processMargin},
		{"link between the processes lost", func(f *fleet) { f.ownerNode(0).unlink() }, recoveryBound},
		{"control process killed", func(f *fleet) { f.ownerNode(0).killControl() }, recoveryBound},
		{"control process restarted", func(f *fleet) {
			n := f.ownerNode(0)
			n.killControl()
			n.startControl()
		}, recoveryBound},
		{"control process paused", func(f *fleet) { f.ownerNode(0).controlPaused = true }, recoveryBound},
		{"VM cut off", func(f *fleet) {
			n := f.ownerNode(0)
			f.isolate(n.index)
			n.platformUnreachable = true
		}, recoveryBound},
		{"VM cut off from other VMs only", func(f *fleet) { f.isolate(f.ownerNode(0).index) }, recoveryBound},
		{"data centre killed", func(f *fleet) {
			for i, n := range f.nodes {
				if i%3 == 0 {
					n.kill()
				}
			}
		}, recoveryBound},
		{"planned stop", func(f *fleet) { f.ownerNode(0).runControl(f.ownerNode(0).control.leave) }, time.Second},
		{"platform down", func(f *fleet) { f.platformDown = true }, step},
		{"platform down and VM killed", func(f *fleet) {
			f.platformDown = true
			f.ownerNode(0).kill()
		}, recoveryBound},
		{"platform down and two VMs killed", func(f *fleet) {
			f.platformDown = true
			a, b := f.ownerNode(0), f.ownerNode(1)
			a.kill()
			b.kill()
		}, recoveryBound},
		{"platform down and VM cut off", func(f *fleet) {
			f.platformDown = true
			f.isolate(f.ownerNode(0).index)
		}, recoveryBound},
		{"a fifth of the datagrams lost", func(f *fleet) { f.loss = 20 }, step},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for s := range uint64(2) {
				f := newFleet(newDraw(s), 13, 3, disabledRules{})
				noError(t, f.advance(settleTime))
				c.fault(f)
				noError(t, f.advance(c.bound))
				for range 20 {
					if n := f.servedCount(); n != len(shards) {
						t.Fatalf("seed %d at %s: %d of %d shards are served", s, f.now, n, len(shards))
					}
					noError(t, f.advance(100*time.Millisecond))
				}
			}
		})
	}
}

// The lease of a paused entry is renewed no more once a report is late, long before the member is given up.
func TestPausedEntryLeaseEnds(t *testing.T) {
	t.Parallel()
	const bound = lease.RenewalInterval + maxReportDelay + tickInterval + lease.Term
	f := newFleet(newDraw(1), 7, 3, disabledRules{})
	noError(t, f.advance(settleTime))
	// Without the platform the member stays in the epoch, so that its lease can be looked at afterwards.
	f.platformDown = true
	n := f.ownerNode(0)
	n.entryPaused = true
	start := n.clock()
	noError(t, f.advance(settleTime))
	if d := n.control.holder.ExpiresAt().Sub(start); d > bound {
		t.Errorf("the lease lasted %s after the pause began, want at most %s", d, bound)
	}
}

// An entry that was paused for long takes part again once it goes on.
func TestPausedEntryRejoins(t *testing.T) {
	t.Parallel()
	f := newFleet(newDraw(1), 7, 3, disabledRules{})
	noError(t, f.advance(settleTime))
	n := f.ownerNode(0)
	n.entryPaused = true
	noError(t, f.advance(settleTime))
	if n.control.isMember() {
		t.Error("the member is still in the epoch")
	}
	n.resumeEntry()
	noError(t, f.advance(recoveryBound))
	if !n.control.isMember() || f.servedCount() != len(shards) {
		t.Errorf("member: %t, shards served: %d", n.control.isMember(), f.servedCount())
	}
}

// A fleet is whole again after a long outage of the platform during which members died.
func TestRecoveryAfterPlatformOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(newDraw(1), 7, 3, disabledRules{})
	noError(t, f.advance(settleTime))
	f.platformDown = true
	f.ownerNode(0).kill()
	noError(t, f.advance(time.Minute))
	f.platformDown = false
	noError(t, f.advance(recoveryBound))
	if n := f.servedCount(); n != len(shards) {
		t.Errorf("%d of %d shards are served", n, len(shards))
	}
	if e := f.ownerNode(0).control.epoch; len(e.GetMembers()) != 6 {
		t.Errorf("members: %v", e.GetMembers())
	}
}

// Many VMs that start together join in few writes, and a fleet at rest writes nothing.
func TestPlatformWriteCount(t *testing.T) {
	t.Parallel()
	f := newFleet(newDraw(1), 13, 4, disabledRules{})
	noError(t, f.advance(settleTime))
	if n := len(f.object.GetMembers()); n != 13 || f.writes > 6 {
		t.Errorf("%d members after %d writes", n, f.writes)
	}
	p := f.writes
	noError(t, f.advance(time.Minute))
	if f.writes != p || len(f.object.GetEarlier()) > 0 {
		t.Errorf("%d writes at rest, unclosed: %v", f.writes-p, f.object.GetEarlier())
	}
}

// owner returns the node that dispatches a shard.
func (f *fleet) ownerNode(i int) *node {
	return f.nodes[f.owners(shards[i])[0]]
}

func (n *node) kill() {
	n.killControl()
	n.killEntry()
}

func noError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// A member whose entry does not follow to a new configuration dispatches nothing after the bound; all others go on.
func TestOutdatedOwnerLosesLease(t *testing.T) {
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
			f := newFleet(newDraw(1), 7, 3, disabledRules{})
			noError(t, f.advance(settleTime))
			c.fault(f)
			for _, n := range f.nodes[1:] {
				n.version = 2
				n.control.learnVersion(n.clock(), 2)
				n.control.noteApplied(n.clock(), n.view.Epoch.GetNumber(), 2)
			}
			noError(t, f.advance(inForce))
			for range 30 {
				for _, n := range f.nodes {
					if n.index == 0 && n.view.LeaseUntil > n.clock() {
						t.Fatalf("at %s the outdated owner still has a lease", f.now)
					}
				}
				noError(t, f.advance(100*time.Millisecond))
			}
			if n := f.servedCount(); n == 0 {
				t.Error("nobody dispatches")
			}
		})
	}
}

// A planned stop ends only when the entry uses the epoch without its member, and no shard waits for a lease to run out.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	f := newFleet(newDraw(1), 7, 3, disabledRules{})
	noError(t, f.advance(settleTime))
	n := f.ownerNode(0)
	n.runControl(n.control.leave)
	for i := 0; !n.control.hasLeft(); i++ {
		if i > 100 {
			t.Fatal("the member has not left after a second")
		}
		noError(t, f.advance(step))
	}
	if hasMember(n.view.Epoch, n.self.GetId()) {
		t.Error("the entry still uses an epoch with its member")
	}
	noError(t, f.advance(200*time.Millisecond))
	if s := f.servedCount(); s != len(shards) {
		t.Errorf("%d of %d shards are served", s, len(shards))
	}
	noError(t, f.advance(settleTime))
	if e := f.object; len(e.GetMembers()) != len(f.nodes)-1 || e.GetNumber() != n.view.Epoch.GetNumber() {
		t.Errorf("epoch %d has %d members", e.GetNumber(), len(e.GetMembers()))
	}
}

// A member that reaches the platform but no other member seldom adds itself, since that takes its shards away from
// living owners until it is removed again; once it is heard it is back at once.
func TestCutOffMemberRejoins(t *testing.T) {
	t.Parallel()
	f := newFleet(newDraw(1), 7, 3, disabledRules{})
	noError(t, f.advance(settleTime))
	f.isolate(0)
	e := f.object.GetNumber()
	noError(t, f.advance(time.Minute))
	// It is removed, adds itself once, and is removed again.
	if n := f.object.GetNumber() - e; n > 3 {
		t.Errorf("%d epochs in a minute", n)
	}
	clear(f.cut)
	noError(t, f.advance(time.Second))
	if !f.nodes[0].control.isMember() {
		t.Error("the member is not back")
	}
}
