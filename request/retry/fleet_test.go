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
			from := c.Now().Add(-length)
			r, m := countSince(requests, from), countSince(retries, from)
			if float64(m) > share*float64(r)+slack {
				t.Fatalf("%d retries for %d requests in the last %s, want at most %.1f", m, r, length, share*float64(r)+slack)
			}
		}
	})
}
