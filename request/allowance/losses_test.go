package allowance

import (
	"slices"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// The times of a loss: when it happens, when teams have to get their whole allowance again, and how long it is watched.
const (
	lossAt       = 5 * time.Second
	replacedAt   = lossAt + simSilence + simLearning + HandoverDelay + time.Second
	lossObserved = 40 * time.Second
	// backAt is when VMs that come back do so.
	backAt = 22 * time.Second
)

// TestAllowancesThroughLosses makes more than half of the VMs fail in one of several ways while teams ask for eight
// times their allowance at all VMs, and counts both sides: the others give out the whole allowance once the keepers are
// replaced, and no window holds more than the bound, whatever VMs are back, and whenever. Teams got only the parts of
// the keepers that were left.
func TestAllowancesThroughLosses(t *testing.T) {
	half := func(s *simulation) []*simVM {
		var l []*simVM
		for i, v := range s.vms {
			if i%9 < 5 {
				l = append(l, v)
			}
		}
		return l
	}
	each := func(do func(s *simulation, v *simVM)) func(*simulation) {
		return func(s *simulation) {
			s.after(lossAt, func() {
				for _, v := range half(s) {
					do(s, v)
				}
			})
		}
	}
	rows := []struct {
		name   string
		faults func(*simulation)
	}{
		{"lost", each(func(_ *simulation, v *simVM) { v.alive = false })},
		{"lost and back", each(func(s *simulation, v *simVM) {
			v.alive = false
			s.after(backAt-lossAt, func() { s.start(v) })
		})},
		{"paused", each(func(s *simulation, v *simVM) { v.frozenUntil = s.now.Add(backAt - lossAt) })},
		{"cut off", each(func(s *simulation, v *simVM) {
			v.side = 1
			s.after(backAt-lossAt, func() { v.side = 0 })
		})},
		{"cut off, killed and back", each(func(s *simulation, v *simVM) {
			v.side = 1
			s.after(backAt-lossAt-time.Second, func() { v.alive = false })
			s.after(backAt-lossAt, func() { v.side = 0; s.start(v) })
		})},
		{"in turn", inTurn},
	}
	for i := range rows {
		r := &rows[i]
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(r.name, func(t *testing.T) {
				t.Parallel()
				checkLoss(t, seed, r.faults, r.name == "in turn")
			})
		}
	}
}

// inTurn has VMs fail and come back in random ways for random times all the while.
func inTurn(s *simulation) {
	var next func()
	next = func() {
		v := s.vms[s.proofs.IntN(len(s.vms))]
		d := time.Duration(500+s.proofs.IntN(14_000)) * time.Millisecond
		if v.alive && v.side == 0 && s.now >= v.frozenUntil {
			switch s.proofs.IntN(3) {
			case 0:
				v.alive = false
				s.after(d, func() { s.start(v) })
			case 1:
				v.frozenUntil = s.now.Add(d)
			case 2:
				v.side = 1
				s.after(d, func() { v.side = 0 })
			}
		}
		s.after(time.Duration(s.proofs.IntN(2500))*time.Millisecond, next)
	}
	next()
}

// checkLoss runs a loss and checks what each team got: at most the bound in every window and, unless VMs fail all the
// while, the whole allowance from replacedAt on until VMs come back.
func checkLoss(t *testing.T, seed uint64, faults func(*simulation), all bool) {
	limits := fewTeams()
	s := newSimulation(seed, 36, limits)
	s.maxReturns = 0
	s.replaceKeepers()
	s.run(settleTime)
	s.began = s.now
	faults(s)
	for _, n := range names(limits) {
		s.demand(n, func(time.Duration) float64 { return 8 * float64(limits[n].Rate) }, lossObserved,
			func(time.Duration) *simVM { return s.anyVM() })
	}
	s.run(lossObserved + time.Second)
	for _, n := range names(limits) {
		uses := s.tally(n).uses
		if w := worstWindow(uses, boundWindow); w > boundOf(limits[n]) {
			t.Errorf("seed %d: team %s used %d tokens in %s, want at most %d", seed, n, w, boundWindow, boundOf(limits[n]))
		}
		span := backAt - replacedAt
		got := len(slices.DeleteFunc(slices.Clone(uses), func(i clock.Instant) bool {
			return i < s.began.Add(replacedAt) || i >= s.began.Add(backAt)
		}))
		want := 0.9 * float64(limits[n].Rate) * span.Seconds()
		if !all && float64(got) < want {
			t.Errorf("seed %d: team %s used %d tokens in %s after the loss, want at least %.0f: its whole allowance", seed, n,
				got, span, want)
		}
		if all && float64(len(uses)) < 0.5*float64(limits[n].Rate)*lossObserved.Seconds() {
			t.Errorf("seed %d: team %s used %d tokens in %s, want half of its allowance", seed, n, len(uses), lossObserved)
		}
	}
}
