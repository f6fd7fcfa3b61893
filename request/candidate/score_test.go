package candidate

import (
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

func load(running, waiting, slots int, slowdown float64) *exchange.Report {
	return &exchange.Report{HasLoad: true, Running: running, Waiting: waiting, Slots: slots, Slowdown: slowdown}
}

// TestScoreOrder checks pairs of reports, of which the first must have the lower score.
func TestScoreOrder(t *testing.T) {
	rows := []struct {
		name                    string
		better, worse           *exchange.Report
		betterExtra, worseExtra int
	}{
		{"idle before busy", load(0, 0, 2, 1), load(1, 0, 2, 1), 0, 0},
		{"free slot before queue", load(1, 0, 2, 1), load(2, 0, 2, 1), 0, 0},
		{"short queue before long", load(2, 0, 2, 1), load(2, 2, 2, 1), 0, 0},
		{"no slowdown before slowdown", load(0, 0, 2, 1), load(0, 0, 2, 5), 0, 0},
		{"busy without slowdown before idle with slowdown", load(1, 0, 2, 1), load(0, 0, 2, 5), 0, 0},
		{"requests sent since the report raise the score", load(0, 0, 2, 1), load(0, 0, 2, 1), 0, 2},
		{"own requests in flight raise the score without load reports", &exchange.Report{Slowdown: 1},
			&exchange.Report{Slowdown: 1}, 0, 1},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			if a, b := score(r.better, r.betterExtra), score(r.worse, r.worseExtra); a >= b {
				t.Errorf("score %.2f, want it below %.2f", a, b)
			}
		})
	}
}

// TestHasCapacity checks that a target is never sent more than twice as many requests as it has slots, as far as the VM
// knows.
func TestHasCapacity(t *testing.T) {
	for running := range 6 {
		for waiting := range 6 {
			for extra := range 6 {
				if hasCapacity(load(running, waiting, 2, 1), extra) && running+waiting+extra >= 4 {
					t.Errorf("%d running, %d waiting, %d sent, 2 slots: target has capacity, want none", running, waiting, extra)
				}
			}
		}
	}
	if !hasCapacity(load(0, 0, 1, 1), 0) {
		t.Error("idle target has no capacity, want capacity")
	}
}

// TestFastEnough checks which expected latencies are accepted, depending on the objective and on the time left.
func TestFastEnough(t *testing.T) {
	now := clock.Instant(time.Hour)
	q := &Query{
		BaseLatency: 100 * time.Millisecond, Objective: now.Add(200 * time.Millisecond),
		WaitUntil: now.Add(80 * time.Millisecond), Deadline: now.Add(time.Second),
	}
	rows := []struct {
		name  string
		at    time.Duration
		score float64
		want  bool
	}{
		{"meets the objective", 0, 2, true},
		{"misses the objective, time left to wait", 0, 2.1, false},
		{"misses the objective, no time left to wait", 70 * time.Millisecond, 3, true},
		{"too close to the deadline", 70 * time.Millisecond, 8, false},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			if got := q.fastEnough(now.Add(r.at), r.score); got != r.want {
				t.Errorf("fastEnough = %t, want %t", got, r.want)
			}
		})
	}
	if !(&Query{Objective: now, Deadline: now.Add(time.Second)}).fastEnough(now, 9) {
		t.Error("fastEnough = false for an unknown base latency, want true")
	}
}

// TestProbeLimiterTake checks that the number of probes is bounded by the rate, the burst and the initial tokens, and
// that the whole rate can be used.
func TestProbeLimiterTake(t *testing.T) {
	c := clock.NewFake()
	const rate, seconds, tokens = 10.0, 30, 45
	l := newProbeLimiter(c.Now(), tokens)
	taken := 0
	for range seconds * 100 {
		c.Advance(10 * time.Millisecond)
		taken += l.take(c.Now(), rate, 3)
	}
	if most := rate*(seconds+burstWindow.Seconds()) + tokens; float64(taken) > most {
		t.Errorf("%d probes in %d s, want at most %.0f", taken, seconds, most)
	}
	if taken < rate*seconds {
		t.Errorf("%d probes in %d s, want at least %.0f per second", taken, seconds, rate)
	}
}
