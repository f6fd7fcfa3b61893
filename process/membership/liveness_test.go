package membership

import (
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/process/lease"
)

// recoveryBound is the time within which the shards of a killed VM have to be served again.
const recoveryBound = 3 * time.Second

// processMargin is what real processes on a loaded machine need in addition to the time of the protocol.
const processMargin = 500 * time.Millisecond

// settleTime is how long a fleet gets to start or to become stable after a fault.
const settleTime = 5 * time.Second

// TestRecoveryAfterFault checks that after each fault every shard is served again within the bound, and stays so.
func TestRecoveryAfterFault(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		fault func(*fleet)
		bound time.Duration
	}{
		{"no fault", func(*fleet) {}, step},
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
						t.Fatalf("seed %d at %s: %d of %d shards are served, want all", s, f.now, n, len(shards))
					}
					noError(t, f.advance(100*time.Millisecond))
				}
			}
		})
	}
}

// TestPausedEntryLeaseEnds checks that the lease of a paused entry is not renewed once a report is late, long before
// the member is removed from the epoch.
func TestPausedEntryLeaseEnds(t *testing.T) {
	t.Parallel()
	const bound = lease.RenewalInterval + lateStatusTimeout + tickInterval + lease.Term
	f := newFleet(newDraw(1), 7, 3, disabledRules{})
	noError(t, f.advance(settleTime))
	// Without the platform the member stays in the epoch, so that its lease can be inspected afterwards.
	f.platformDown = true
	n := f.ownerNode(0)
	n.entryPaused = true
	start := n.clock()
	noError(t, f.advance(settleTime))
	if d := n.control.holder.ExpiresAt().Sub(start); d > bound {
		t.Errorf("the lease lasted %s after the pause began, want at most %s", d, bound)
	}
}

// TestPausedEntryRejoins checks that an entry that was paused for long is a member again once it resumes.
func TestPausedEntryRejoins(t *testing.T) {
	t.Parallel()
	f := newFleet(newDraw(1), 7, 3, disabledRules{})
	noError(t, f.advance(settleTime))
	n := f.ownerNode(0)
	n.entryPaused = true
	noError(t, f.advance(settleTime))
	if n.control.isMember() {
		t.Error("the member of the paused entry is still in the epoch, want it removed")
	}
	n.resumeEntry()
	noError(t, f.advance(recoveryBound))
	if !n.control.isMember() || f.servedCount() != len(shards) {
		t.Errorf("is member = %t, %d shards are served; want true, all shards", n.control.isMember(), f.servedCount())
	}
}

// TestRecoveryAfterPlatformOutage checks that all shards are served after a long outage of the platform during which a
// member died.
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
		t.Errorf("%d of %d shards are served, want all", n, len(shards))
	}
	if e := f.ownerNode(0).control.epoch; len(e.GetMembers()) != 6 {
		t.Errorf("the epoch has members %v, want 6 members", e.GetMembers())
	}
}

// TestPlatformWriteCount checks that many VMs that start together join in few writes, and that a stable fleet writes
// nothing.
func TestPlatformWriteCount(t *testing.T) {
	t.Parallel()
	f := newFleet(newDraw(1), 13, 4, disabledRules{})
	noError(t, f.advance(settleTime))
	if n := len(f.object.GetMembers()); n != 13 || f.writes > 6 {
		t.Errorf("got %d members after %d writes, want 13 after at most 6", n, f.writes)
	}
	p := f.writes
	noError(t, f.advance(time.Minute))
	if f.writes != p || len(f.object.GetEarlier()) > 0 {
		t.Errorf("got %d writes while stable, earlier epochs %v; want none", f.writes-p, f.object.GetEarlier())
	}
}

// ownerNode returns the node that dispatches a shard.
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

// TestOutdatedOwnerLosesLease checks that a member whose entry doesn't apply a new configuration has no lease after the
// bound, while all other members go on.
func TestOutdatedOwnerLosesLease(t *testing.T) {
	t.Parallel()
	const versionBound = 3 * time.Second
	for _, c := range []struct {
		name  string
		fault func(*fleet)
	}{
		{"entry does not apply the configuration", func(*fleet) {}},
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
			noError(t, f.advance(versionBound))
			for range 30 {
				for _, n := range f.nodes {
					if n.index == 0 && n.view.LeaseUntil > n.clock() {
						t.Fatalf("at %s the owner with the outdated configuration still has a lease, want none", f.now)
					}
				}
				noError(t, f.advance(100*time.Millisecond))
			}
			if n := f.servedCount(); n == 0 {
				t.Error("no shard is served, want at least one by the members with the new configuration")
			}
		})
	}
}

// TestPlannedStop checks that a planned stop ends only when the entry uses the epoch without its member, and that no
// shard waits for a lease to expire.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	f := newFleet(newDraw(1), 7, 3, disabledRules{})
	noError(t, f.advance(settleTime))
	n := f.ownerNode(0)
	n.runControl(n.control.leave)
	for i := 0; !n.control.hasLeft(); i++ {
		if i > 100 {
			t.Fatal("the member has not left a second after its planned stop began, want it to have left")
		}
		noError(t, f.advance(step))
	}
	if hasMember(n.view.Epoch, n.self.GetId()) {
		t.Error("the entry still uses an epoch that lists its member, want a later one without it")
	}
	noError(t, f.advance(200*time.Millisecond))
	if s := f.servedCount(); s != len(shards) {
		t.Errorf("%d of %d shards are served, want all", s, len(shards))
	}
	noError(t, f.advance(settleTime))
	if e := f.object; len(e.GetMembers()) != len(f.nodes)-1 || e.GetNumber() != n.view.Epoch.GetNumber() {
		t.Errorf("epoch %d has %d members, want the entry's epoch with all members but one",
			e.GetNumber(), len(e.GetMembers()))
	}
}

// TestCutOffMemberRejoins checks that a member that reaches the platform but no other member seldom adds itself,
// because that takes its shards away from running owners until it is removed again. Once it is reachable it has to
// rejoin at once.
func TestCutOffMemberRejoins(t *testing.T) {
	t.Parallel()
	f := newFleet(newDraw(1), 7, 3, disabledRules{})
	noError(t, f.advance(settleTime))
	f.isolate(0)
	e := f.object.GetNumber()
	noError(t, f.advance(time.Minute))
	// The member is removed, adds itself once, and is removed again.
	if n := f.object.GetNumber() - e; n > 3 {
		t.Errorf("got %d epochs in a minute, want at most 3", n)
	}
	clear(f.cut)
	noError(t, f.advance(time.Second))
	if !f.nodes[0].control.isMember() {
		t.Error("the member is not in the epoch a second after it became reachable, want it to have rejoined")
	}
}
