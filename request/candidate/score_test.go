package candidate

import (
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

func load(running, waiting, slots int, pace float64) *exchange.Report {
	return &exchange.Report{HasLoad: true, Running: running, Waiting: waiting, Slots: slots, Pace: pace}
}

// TestScoreOrder holds pairs of targets, the first of which would answer sooner.
func TestScoreOrder(t *testing.T) {
	rows := []struct {
		name           string
		better, worse  *exchange.Report
		extra, extraTo int
	}{
		{"idle before busy", load(0, 0, 2, 1), load(1, 0, 2, 1), 0, 0},
		{"free slot before queue", load(1, 0, 2, 1), load(2, 0, 2, 1), 0, 0},
		{"short queue before long", load(2, 0, 2, 1), load(2, 2, 2, 1), 0, 0},
		{"usual pace before slow", load(0, 0, 2, 1), load(0, 0, 2, 5), 0, 0},
		{"busy at the usual pace before idle and slow", load(1, 0, 2, 1), load(0, 0, 2, 5), 0, 0},
		{"own sends count", load(0, 0, 2, 1), load(0, 0, 2, 1), 0, 2},
		{"without load reports", &exchange.Report{Pace: 1}, &exchange.Report{Pace: 1}, 0, 1},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			if a, b := score(r.better, r.extra), score(r.worse, r.extraTo); a >= b {
				t.Errorf("scores %.2f and %.2f", a, b)
			}
		})
	}
}

// TestRoom checks that a target never gets more than it has slots, twice over, as far as a VM can know.
func TestRoom(t *testing.T) {
	for running := range 6 {
		for waiting := range 6 {
			for extra := range 6 {
				if room(load(running, waiting, 2, 1), extra) && running+waiting+extra >= 4 {
					t.Errorf("%d running, %d waiting and %d sent leave room at 2 slots", running, waiting, extra)
				}
			}
		}
	}
	if !room(load(0, 0, 1, 1), 0) {
		t.Error("an idle target has no room")
	}
}

// TestInTime holds rows for what is worth a slot.
func TestInTime(t *testing.T) {
	now := clock.Instant(time.Hour)
	q := &Query{
		Work: 100 * time.Millisecond, Objective: now.Add(200 * time.Millisecond), Until: now.Add(80 * time.Millisecond),
		Deadline: now.Add(time.Second),
	}
	rows := []struct {
		name  string
		at    time.Duration
		score float64
		want  bool
	}{
		{"within the objective", 0, 2, true},
		{"over the objective with time to wait", 0, 2.1, false},
		{"over the objective at the end of the wait", 70 * time.Millisecond, 3, true},
		{"into the deadline", 70 * time.Millisecond, 8, false},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			if got := q.inTime(now.Add(r.at), r.score); got != r.want {
				t.Errorf("inTime = %t, want %t", got, r.want)
			}
		})
	}
	if !(&Query{Objective: now, Deadline: now.Add(time.Second)}).inTime(now, 9) {
		t.Error("a request whose work isn't known must not wait")
	}
}

// TestLaneSpend checks that no span has more probes than its rate and what was saved.
func TestLaneSpend(t *testing.T) {
	c := clock.NewFake()
	const rate, seconds, saved = 10.0, 30, 45
	l := newLane(c.Now(), saved)
	spent := 0
	for range seconds * 100 {
		c.Advance(10 * time.Millisecond)
		spent += l.spend(c.Now(), rate, 3)
	}
	if most := rate*(seconds+maxSaved.Seconds()) + saved; float64(spent) > most {
		t.Errorf("%d probes in %d s, at most %.0f", spent, seconds, most)
	}
	if spent < rate*seconds {
		t.Errorf("%d probes in %d s at %.0f a second", spent, seconds, rate)
	}
}
