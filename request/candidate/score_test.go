package candidate

import (
	"testing"
	"time"

	"pgregory.net/rapid"

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

// TestProbeLimiterTakesTurnsOutOfOrder checks that requests whose turns come in another order than their times get
// neither a negative number of probes nor more than the rate allows.
func TestProbeLimiterTakesTurnsOutOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		c.Advance(time.Minute)
		const rate, tokens = 20.0, 5.0
		l := newProbeLimiter(c.Now(), tokens)
		began, taken := c.Now(), 0
		for range rapid.IntRange(1, 100).Draw(t, "turns") {
			c.Advance(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			late := time.Duration(rapid.IntRange(0, 300).Draw(t, "late")) * time.Millisecond
			n := l.take(c.Now().Add(-late), rate, rapid.IntRange(0, 5).Draw(t, "wanted"))
			if n < 0 {
				t.Fatalf("%d probes allowed, want at least none", n)
			}
			taken += n
		}
		if most := tokens + rate*c.Now().Sub(began).Seconds(); float64(taken) > most {
			t.Fatalf("%d probes in %s, want at most %.1f", taken, c.Now().Sub(began), most)
		}
	})
}
