package target

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

const (
	quick = 5 * time.Millisecond
	slow  = 40 * time.Millisecond
)

var limits = Limits{Slots: 4, Cold: 1}

// noOthers is the latency of the other targets when there are none.
func noOthers() time.Duration { return 0 }

// sendSequentially sends n requests one after the other, which all end with the same sample.
func sendSequentially(f *clock.Fake, t *Target, n int, s Sample, others func() time.Duration) {
	for range n {
		b := f.Now()
		t.Begin(b)
		f.Advance(quick)
		t.End(f.Now(), b, s, others)
	}
}

// TestTarget checks the state and the limit of a target after each sequence of request results that changes them or
// must not change them.
func TestTarget(t *testing.T) {
	good, late := Success{Latency: quick, Incarnation: "a"}, Success{Latency: slow, Incarnation: "a"}
	reset := Failure{Reason: outcome.Reset}
	type step struct {
		n      int
		sample Sample
	}
	rows := []struct {
		name   string
		others time.Duration
		steps  []step
		state  State
		limit  int
	}{
		{"no requests", 0, nil, Cold, 1},
		{"one window without a reference", 0, []step{{windowSize, good}}, Cold, 1},
		{"two windows that agree", 0, []step{{2 * windowSize, good}}, Warming, 2},
		{"warm", 0, []step{{3 * windowSize, good}}, Warm, 4},
		{"as fast as the warm targets", quick, []step{{2 * windowSize, good}}, Warm, 4},
		{"cold target slower than the others", quick, []step{{10 * windowSize, late}}, Cold, 1},
		{"cold target that becomes faster", 0, []step{{windowSize, late}, {windowSize, good}}, Cold, 1},
		{"straggler", quick, []step{{3 * windowSize, good}, {12, late}}, Straggling, 1},
		{"straggler recovers", quick, []step{{3 * windowSize, good}, {12, late}, {3 * windowSize, good}}, Warm, 4},
		{"all targets equally slower", slow, []step{{3 * windowSize, good}, {3 * windowSize, late}}, Warm, 4},
		{"requests permanently more expensive", 0, []step{{3 * windowSize, good}, {12 + 10*windowSize, late}}, Warm, 4},
		{"reset", 0, []step{{3 * windowSize, good}, {1, reset}}, Cold, 1},
		{"new incarnation", 0, []step{{3 * windowSize, good}, {1, Success{quick, "b"}}}, Cold, 1},
		{"refusal", 0, []step{{3 * windowSize, good}, {1, Refusal{}}}, Warming, 2},
		{"unreachable", 0, []step{{3 * windowSize, good}, {1, Failure{outcome.Unreachable}}}, Suspect, 0},
		{"one silent connection", 0, []step{{3 * windowSize, good}, {1, Failure{outcome.Silent}}}, Warm, 4},
		{"failures in a row", 0, []step{{3 * windowSize, good}, {3, Failure{outcome.Silent}}}, Suspect, 0},
		{"answer of a suspect target", 0, []step{{1, Failure{outcome.Unreachable}}, {1, good}}, Cold, 1},
		{"cancelled by the caller", 0, []step{{3 * windowSize, good}, {2, Abandoned{}}}, Warm, 4},
		{"never sent", 0, []step{{3 * windowSize, good}, {9, NoEvidence{}}}, Warm, 4},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			f := clock.NewFake()
			g := New(limits)
			for _, s := range r.steps {
				sendSequentially(f, g, s.n, s.sample, func() time.Duration { return r.others })
			}
			if g.State() != r.state || int(g.Limit()) != r.limit {
				t.Errorf("state %s with limit %d, want %s with %d", g.State(), g.Limit(), r.state, r.limit)
			}
		})
	}
}

// TestTargetLagging checks that a request that takes too long makes its target lag before the request ends.
func TestTargetLagging(t *testing.T) {
	f := clock.NewFake()
	g := New(limits)
	sendSequentially(f, g, 3*windowSize, Success{Latency: quick}, noOthers)
	g.Begin(f.Now())
	f.Advance(laggingFactor * quick)
	if g.Lagging(f.Now()) {
		t.Error("the target lags with a request as old as the bound, want that it does not")
	}
	f.Advance(1)
	if !g.Lagging(f.Now()) {
		t.Error("the target does not lag with a request older than the bound, want that it does")
	}
}

// TestTargetMachine runs random actions on a target and compares it with a model that counts the requests in flight and
// the answers since the last sign of a restart.
func TestTargetMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := clock.NewFake()
		l := Limits{Slots: 3, Cold: 1}
		g := New(l)
		var open []clock.Instant
		inherited, inheritedEnd, answers := 0, clock.Instant(0), 0
		snapshotApplied, leaving, hasEvidence := false, false, false
		var abandonedEnds []clock.Instant
		abandoned := func() int {
			n := 0
			for _, end := range abandonedEnds {
				if f.Now() < end {
					n++
				}
			}
			return n
		}
		wantInFlight := func() int {
			if f.Now() < inheritedEnd {
				return len(open) + inherited + abandoned()
			}
			return len(open) + abandoned()
		}
		end := func(t *rapid.T, s Sample) {
			if len(open) == 0 {
				return
			}
			n := rapid.IntRange(0, len(open)-1).Draw(t, "which")
			switch s.(type) {
			case Success, Refusal, Failure:
				hasEvidence = true
			}
			if s == (Failure{Reason: outcome.Silent}) || s == (Abandoned{}) {
				abandonedEnds = append(abandonedEnds, f.Now().Add(cancelNoticeTime))
			}
			b := open[n]
			open = append(open[:n:n], open[n+1:]...)
			g.End(f.Now(), b, s, noOthers)
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				if g.FreeSlots(f.Now()) > 0 || (g.AllowsRequestBeyondSlots(f.Now()) && wantInFlight() == int(l.Slots)) {
					open = append(open, f.Now())
					g.Begin(f.Now())
				}
				f.Advance(1)
			},
			"answer": func(t *rapid.T) {
				if len(open) > 0 {
					answers++
				}
				end(t, Success{Latency: quick, Incarnation: "a"})
			},
			"restart": func(t *rapid.T) {
				if len(open) > 0 {
					answers, snapshotApplied = 0, false
				}
				end(t, Failure{Reason: outcome.Reset})
			},
			"silence": func(t *rapid.T) { end(t, Failure{Reason: outcome.Silent}) },
			"cancel":  func(t *rapid.T) { end(t, Abandoned{}) },
			"notSent": func(t *rapid.T) { end(t, NoEvidence{}) },
			"leave":   func(*rapid.T) { leaving = true; g.Leave() },
			"return":  func(*rapid.T) { leaving = false; g.Return() },
			"advance": func(*rapid.T) { f.Advance(50 * time.Millisecond) },
			"handover": func(t *rapid.T) {
				inherited, inheritedEnd = rapid.IntRange(0, 3).Draw(t, "inherited"), f.Now().Add(100*time.Millisecond)
				snapshotApplied = snapshotApplied || !hasEvidence
				hasEvidence = true
				g.ApplySnapshot(Snapshot{State: Warm, Limit: 3, RecentLatency: quick, BaselineLatency: quick})
				g.SetInherited(inherited, inheritedEnd)
			},
			"": func(t *rapid.T) {
				if g.InFlight(f.Now()) != wantInFlight() {
					t.Fatalf("%d in flight, want %d", g.InFlight(f.Now()), wantInFlight())
				}
				if !snapshotApplied && answers < windowSize*minSteadyWindows && g.Limit() > l.Cold {
					t.Fatalf("limit %d after only %d answers, want at most %d", g.Limit(), answers, l.Cold)
				}
				if g.FreeSlots(f.Now()) > 0 && wantInFlight() >= int(l.Slots) {
					t.Fatalf("%d free slots with %d in flight, want none", g.FreeSlots(f.Now()), wantInFlight())
				}
				if s := g.State(); (leaving || s == Suspect) && (g.FreeSlots(f.Now()) > 0 || g.AllowsRequestBeyondSlots(f.Now())) {
					t.Fatalf("a request may start at a target in state %s (leaving: %t), want none", s, leaving)
				}
			},
		})
	})
}
