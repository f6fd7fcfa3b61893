package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// injectFault applies one random fault to the fleet, or repairs it.
func (f *fleet) injectFault() {
	n := f.nodes[f.draw("node", len(f.nodes))]
	switch f.draw("fault", 22) {
	case 0:
		n.killControl()
	case 1:
		n.killEntry()
	case 2:
		n.killControl()
		n.startControl()
	case 3:
		n.startEntry()
	case 4, 5:
		n.controlPaused = n.control != nil
	case 6, 7:
		f.partition()
	case 8:
		f.loss, f.delay = f.draw("loss", 60), step*time.Duration(1+f.draw("delay", 200))
	case 9:
		f.platformDown = !f.platformDown
	case 10:
		n.runControl(func() { n.control.leave() })
	case 11:
		n.platformUnreachable = !n.platformUnreachable
	case 12:
		n.unlink()
	case 13:
		n.entryPaused = true
	case 14, 15:
		// A silent member that can't be removed from the epoch gets a deputy.
		f.platformDown = true
		f.isolate(n.index)
	case 16:
		f.platformDown = true
		n.controlPaused = n.control != nil
	case 17:
		clear(f.cut)
		f.platformDown = false
	default:
		f.repair()
	}
}

// partition splits the nodes into two groups that can't reach each other, in both directions or in one only.
func (f *fleet) partition() {
	side := f.draw("side", 1<<len(f.nodes))
	both := f.draw("both", 2) == 0
	for i := range f.nodes {
		for j := range f.nodes {
			a, b := side>>i&1, side>>j&1
			f.cut[[2]int{i, j}] = a < b || (both && a > b)
		}
	}
}

// repair ends all faults.
func (f *fleet) repair() {
	clear(f.cut)
	f.loss, f.delay, f.platformDown = 0, step, false
	for _, n := range f.nodes {
		n.platformUnreachable = false
		n.resumeEntry()
		if n.controlPaused {
			n.resumeControl()
		}
		if n.control == nil {
			n.startControl()
		}
		if !n.entryUp {
			n.startEntry()
		}
		if n.unlinked {
			n.connectEntry()
		}
	}
}

// runTrial injects many faults into a fleet and returns the first violation. Faults come from p, the behaviour of
// clocks and network from noise.
func runTrial(p, noise draw, f disabledRules) error {
	l := newFleet(noise, 3+p("size", 5), 3, f)
	if err := l.advance(time.Second); err != nil {
		return err
	}
	for range 16 {
		l.draw = p
		l.injectFault()
		l.draw = noise
		if err := l.advance(time.Duration(1+p("time", 120)) * step); err != nil {
			return err
		}
	}
	return nil
}

// TestAtMostOneOwner checks that no two members may dispatch one shard at the same instant, whatever faults they, their
// network and the platform have.
func TestAtMostOneOwner(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		noise := newDraw(rapid.Uint64().Draw(t, "noise"))
		p := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		if err := runTrial(p, noise, disabledRules{}); err != nil {
			t.Fatal(err)
		}
	})
}

// newDraw returns a draw from one seed, because a trial needs more numbers than a rapid case should hold.
func newDraw(s uint64) draw {
	r := rand.New(rand.NewPCG(s, 1))
	return func(_ string, n int) int { return r.IntN(n) }
}

// cutOffOwnerReturns returns a fixed sequence of faults: node 0 is cut off and removed, then reaches one witness that
// has a later epoch. With restart, the control process of that witness restarts before.
func cutOffOwnerReturns(restart bool) func(disabledRules) error {
	return func(f disabledRules) error {
		l := newFleet(newDraw(1), 3, 3, f)
		if err := l.advance(3 * time.Second); err != nil {
			return err
		}
		l.isolate(0)
		l.nodes[0].platformUnreachable = true
		if err := l.advance(3 * time.Second); err != nil {
			return err
		}
		l.platformDown = true
		clear(l.cut)
		l.isolate(2)
		if restart {
			l.nodes[1].killControl()
			l.nodes[1].startControl()
		}
		return l.advance(time.Second)
	}
}

// witnessesRestart is a fixed sequence of faults: the control process of a leaving member is paused, and two of its
// witnesses restart while its entry still has the lease.
func witnessesRestart(f disabledRules) error {
	l := newFleet(newDraw(1), 4, 1, f)
	if err := l.advance(3 * time.Second); err != nil {
		return err
	}
	l.nodes[0].runControl(l.nodes[0].control.leave)
	for p := l.writes; l.writes == p; {
		if err := l.advance(step); err != nil {
			return err
		}
	}
	l.nodes[0].controlPaused = true
	if err := l.advance(400 * time.Millisecond); err != nil {
		return err
	}
	for _, n := range l.nodes[2:] {
		n.killControl()
		n.startControl()
	}
	return l.advance(time.Second)
}

// deputyCutOff returns a fixed sequence of faults: a silent member gets a deputy and returns, and a new member takes
// over some of its shards while the deputy, which is now cut off, still has the lease.
func deputyCutOff(seed uint64) func(disabledRules) error {
	return func(f disabledRules) error {
		l := newFleet(newDraw(seed), 6, 1, f)
		joiner := l.nodes[5]
		joiner.kill()
		if err := l.advance(5 * time.Second); err != nil {
			return err
		}
		l.platformDown = true
		l.isolate(0)
		if err := l.advance(3 * time.Second); err != nil {
			return err
		}
		i := slices.IndexFunc(l.nodes, func(n *node) bool {
			return slices.ContainsFunc(n.view.Deputies, func(d Deputy) bool { return d.LeaseUntil > n.clock() })
		})
		if i < 0 {
			return errors.New("no member holds the lease of the silent one")
		}
		clear(l.cut)
		l.isolate(i)
		l.nodes[i].platformUnreachable, l.platformDown = true, false
		joiner.startControl()
		joiner.startEntry()
		return l.advance(2 * time.Second)
	}
}

func (f *fleet) isolate(i int) {
	for j := range f.nodes {
		f.cut[[2]int{i, j}], f.cut[[2]int{j, i}] = i != j, i != j
	}
}

// searchSeeds returns a function that runs trials with consecutive seeds up to the first violation.
func searchSeeds(first, trials uint64) func(disabledRules) error {
	return func(f disabledRules) error {
		for s := first; s < first+trials; s++ {
			p := newDraw(s)
			if err := runTrial(p, p, f); err != nil {
				return fmt.Errorf("seed %d: %w", s, err)
			}
		}
		return nil
	}
}

// TestOracleDetectsDisabledRules checks that the oracle finds a violation when a safety rule is disabled, and none with
// the same faults when all rules are enabled.
func TestOracleDetectsDisabledRules(t *testing.T) {
	t.Parallel()
	const trials = 20
	for _, c := range []struct {
		name     string
		disabled disabledRules
		run      func(disabledRules) error
	}{
		{"no wait for earlier epochs", disabledRules{waitForEarlierEpochs: true}, searchSeeds(0, trials)},
		{"grants under any epoch", disabledRules{grantNewestEpochOnly: true}, cutOffOwnerReturns(false)},
		{"lease counted from receipt", disabledRules{leaseStartsAtSend: true}, searchSeeds(100, trials)},
		{"restarted witness grants for its previous process", disabledRules{checkTarget: true}, cutOffOwnerReturns(true)},
		{"restarted witness assumes that it granted nothing", disabledRules{assumeGrantsBeforeStart: true}, witnessesRestart},
		{"lease granted to two holders", disabledRules{oneHolderPerLease: true}, searchSeeds(200, trials)},
		{"owner closes a tenure while a deputy holds its lease", disabledRules{reportDeputyGrants: true}, deputyCutOff(1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			err := c.run(c.disabled)
			if err == nil {
				t.Error("the oracle found no violation with the rule disabled, want one")
			}
			t.Log(err)
			if err := c.run(disabledRules{}); err != nil {
				t.Error(err)
			}
		})
	}
}
