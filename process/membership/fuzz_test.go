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

// disturb does one random thing to the fleet.
func (f *fleet) disturb() {
	n := f.nodes[f.pick("node", len(f.nodes))]
	switch f.pick("fault", 22) {
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
		n.paused = n.control != nil
	case 6, 7:
		f.partition()
	case 8:
		f.loss, f.delay = f.pick("percent", 60), step*time.Duration(1+f.pick("late", 200))
	case 9:
		f.down = !f.down
	case 10:
		n.run(func() { n.control.leave() })
	case 11:
		n.blind = !n.blind
	case 12:
		n.unlink()
	case 13:
		n.frozen = true
	case 14, 15:
		// A silent member whose removal can't be written gets a deputy.
		f.down = true
		f.isolate(n.index)
	case 16:
		f.down = true
		n.paused = n.control != nil
	case 17:
		clear(f.cut)
		f.down = false
	default:
		f.mend()
	}
}

// partition cuts the nodes into two groups, or in one direction only.
func (f *fleet) partition() {
	side := f.pick("side", 1<<len(f.nodes))
	both := f.pick("both", 2) == 0
	for i := range f.nodes {
		for j := range f.nodes {
			a, b := side>>i&1, side>>j&1
			f.cut[[2]int{i, j}] = a < b || (both && a > b)
		}
	}
}

// mend ends all faults.
func (f *fleet) mend() {
	clear(f.cut)
	f.loss, f.delay, f.down = 0, step, false
	for _, n := range f.nodes {
		n.blind = false
		n.thaw()
		if n.paused {
			n.resume()
		}
		if n.control == nil {
			n.startControl()
		}
		if !n.up {
			n.startEntry()
		}
		if n.unlinked {
			n.hello()
		}
	}
}

// trial disturbs a fleet many times and returns the first violation.
func trial(p, noise pick, f flaws) error {
	l := newFleet(noise, 3+p("size", 5), 3, f)
	if err := l.advance(time.Second); err != nil {
		return err
	}
	for range 16 {
		l.pick = p
		l.disturb()
		l.pick = noise
		if err := l.advance(time.Duration(1+p("time", 120)) * step); err != nil {
			return err
		}
	}
	return nil
}

// At no instant may two members dispatch one shard, whatever happens to them, their network and the platform.
func TestOneOwnerAtMost(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		noise := seeded(rapid.Uint64().Draw(t, "noise"))
		p := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		if err := trial(p, noise, flaws{}); err != nil {
			t.Fatal(err)
		}
	})
}

// seeded draws from one seed: a trial needs more numbers than a rapid case should hold.
func seeded(s uint64) pick {
	r := rand.New(rand.NewPCG(s, 1))
	return func(_ string, n int) int { return r.IntN(n) }
}

// script is a fixed order of faults: node 0 is cut off and removed, then reaches one witness that is past its epoch.
func script(restart bool) func(flaws) error {
	return func(f flaws) error {
		l := newFleet(seeded(1), 3, 3, f)
		if err := l.advance(3 * time.Second); err != nil {
			return err
		}
		l.isolate(0)
		l.nodes[0].blind = true
		if err := l.advance(3 * time.Second); err != nil {
			return err
		}
		l.down = true
		clear(l.cut)
		l.isolate(2)
		if restart {
			l.nodes[1].killControl()
			l.nodes[1].startControl()
		}
		return l.advance(time.Second)
	}
}

// restarts is a fixed order of faults: a leaving member pauses, and two of its witnesses restart while its entry
// still has the lease.
func restarts(f flaws) error {
	l := newFleet(seeded(1), 4, 1, f)
	if err := l.advance(3 * time.Second); err != nil {
		return err
	}
	l.nodes[0].run(l.nodes[0].control.leave)
	for p := l.puts; l.puts == p; {
		if err := l.advance(step); err != nil {
			return err
		}
	}
	l.nodes[0].paused = true
	if err := l.advance(400 * time.Millisecond); err != nil {
		return err
	}
	for _, n := range l.nodes[2:] {
		n.killControl()
		n.startControl()
	}
	return l.advance(time.Second)
}

// deputised is a fixed order of faults: a silent member gets a deputy and comes back, and a new member takes over some
// of its shards while the deputy, cut off now, still has the lease.
func deputised(seed uint64) func(flaws) error {
	return func(f flaws) error {
		l := newFleet(seeded(seed), 6, 1, f)
		joins := l.nodes[5]
		joins.kill()
		if err := l.advance(5 * time.Second); err != nil {
			return err
		}
		l.down = true
		l.isolate(0)
		if err := l.advance(3 * time.Second); err != nil {
			return err
		}
		i := slices.IndexFunc(l.nodes, func(n *node) bool {
			return slices.ContainsFunc(n.view.Deputies, func(d Deputy) bool { return d.LeaseUntil > n.clock() })
		})
		if i < 0 {
			return errors.New("no deputy")
		}
		clear(l.cut)
		l.isolate(i)
		l.nodes[i].blind, l.down = true, false
		joins.startControl()
		joins.startEntry()
		return l.advance(2 * time.Second)
	}
}

func (f *fleet) isolate(i int) {
	for j := range f.nodes {
		f.cut[[2]int{i, j}], f.cut[[2]int{j, i}] = i != j, i != j
	}
}

// search runs trials from a seed on, up to the first violation.
func search(first, trials uint64) func(flaws) error {
	return func(f flaws) error {
		for s := first; s < first+trials; s++ {
			p := seeded(s)
			if err := trial(p, p, f); err != nil {
				return fmt.Errorf("seed %d: %w", s, err)
			}
		}
		return nil
	}
}

// The oracle notices the absence of each rule, and nothing when the rule is there.
func TestOracleNotices(t *testing.T) {
	t.Parallel()
	const trials = 20
	for _, c := range []struct {
		name  string
		flaws flaws
		try   func(flaws) error
	}{
		{"no wait for earlier epochs", flaws{noEarlier: true}, search(0, trials)},
		{"grants under any epoch", flaws{anyEpoch: true}, script(false)},
		{"lease counted from receipt", flaws{fromReceipt: true}, search(100, trials)},
		{"restarted witness grants as its predecessor", flaws{anyTarget: true}, script(true)},
		{"restarted witness has granted nothing", flaws{noFloor: true}, restarts},
		{"a lease is granted to two holders", flaws{twoHolders: true}, search(200, trials)},
		{"owners close tenures that deputies hold", flaws{deputyUntold: true}, deputised(1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			err := c.try(c.flaws)
			if err == nil {
				t.Error("no violation was noticed without the rule")
			}
			t.Log(err)
			if err := c.try(flaws{}); err != nil {
				t.Error(err)
			}
		})
	}
}
