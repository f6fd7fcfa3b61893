package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// TestRestartDoesNotRenewSlack checks, for random requests, retries and restarts at several VMs, that no period of the
// window's length contains more retries than the share of the requests in it plus the slack of all VMs together.
func TestRestartDoesNotRenewSlack(t *testing.T) {
	const share, slack, length = 0.2, 8.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		n := rapid.IntRange(1, 4).Draw(t, "VMs")
		start := func() *SlidingWindow {
			return NewSlidingWindow(c, share, func() float64 { return slack / float64(n) }, length)
		}
		var fleet []*SlidingWindow
		for range n {
			fleet = append(fleet, start())
		}
		// Traffic begins later than the processes.
		c.Advance(length)
		var requests, retries []clock.Instant
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			c.Advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "VM")
			switch k := rapid.IntRange(0, 20).Draw(t, "kind"); {
			case k == 0:
				fleet[i] = start()
			case k < 10:
				fleet[i].RecordFirstAttempt("s")
				requests = append(requests, c.Now())
			default:
				if r := fleet[i].Take("s"); r != nil {
					r.Sent()
					retries = append(retries, c.Now())
				}
			}
		}
		checkLimit(t, requests, retries, share, slack, length)
	})
}

// checkLimit checks that no period of the given length contains more retries than the share of its requests plus the
// slack.
func checkLimit(t *rapid.T, requests, retries []clock.Instant, share, slack float64, length time.Duration) {
	for _, from := range retries {
		n := countBetween(retries, from, from.Add(length))
		if r := maxRequests(requests, from, length); float64(n) > share*float64(r)+slack {
			t.Fatalf("%d retries in a period of %s with %d requests, want at most %.1f", n, length, r, share*float64(r)+slack)
		}
	}
}

// maxRequests returns the largest of the numbers of requests in the window that begins at the given instant, in the one
// before it, and in the one half a window before it.
func maxRequests(requests []clock.Instant, from clock.Instant, length time.Duration) int {
	n := 0
	for _, f := range []clock.Instant{from, from.Add(-length / 2), from.Add(-length)} {
		n = max(n, countBetween(requests, f, f.Add(length)))
	}
	return n
}

func countBetween(l []clock.Instant, from, until clock.Instant) int {
	n := 0
	for _, i := range l {
		if i >= from && i < until {
			n++
		}
	}
	return n
}

// TestRetriesAfterBurst checks, for VMs whose loads change, that no period of the window's length, wherever it begins,
// contains more retries than the operators allow: the share of the requests in it, in the period before it or in the
// one half a period before it, plus the slack.
func TestRetriesAfterBurst(t *testing.T) {
	const share, length, step = 0.2, 10 * time.Second, 50 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		n := rapid.IntRange(1, 3).Draw(t, "VMs")
		slack := 2.0 * float64(n)
		var fleet []*SlidingWindow
		for range n {
			fleet = append(fleet, NewSlidingWindow(c, share, func() float64 { return slack / float64(n) }, length))
		}
		c.Advance(length)
		var requests, retries []clock.Instant
		for range rapid.IntRange(2, 6).Draw(t, "phases") {
			seconds := rapid.IntRange(1, 8).Draw(t, "seconds")
			load := rapid.SliceOfN(rapid.IntRange(0, 2), n, n).Draw(t, "requests in a step")
			wanted := rapid.SliceOfN(rapid.IntRange(0, 2), n, n).Draw(t, "retries in a step")
			for range seconds * int(time.Second/step) {
				for i, w := range fleet {
					for range load[i] {
						w.RecordFirstAttempt("s")
						requests = append(requests, c.Now())
					}
					for range wanted[i] {
						if r := w.Take("s"); r != nil {
							r.Sent()
							retries = append(retries, c.Now())
						}
					}
				}
				c.Advance(step)
			}
		}
		checkLimit(t, requests, retries, share, slack, length)
	})
}
