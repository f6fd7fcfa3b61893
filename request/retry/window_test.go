package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// TestWindow checks that no span of the window's length ever has more retries than the share of its requests and the
// slack, whatever comes when.
func TestWindow(t *testing.T) {
	const share, slack, length = 0.2, 2.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		w := NewWindow(c, share, func() float64 { return slack }, length)
		var requests, retries []clock.Instant
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			c.Advance(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "what") > 0 {
				w.First("s")
				requests = append(requests, c.Now())
				continue
			}
			if !w.Take("s") {
				continue
			}
			retries = append(retries, c.Now())
			from := c.Now().Add(-length)
			n, m := since(requests, from), since(retries, from)
			if float64(m) > share*float64(n)+slack {
				t.Fatalf("%d retries for %d requests in the last %s", m, n, length)
			}
		}
	})
}

func since(l []clock.Instant, from clock.Instant) int {
	n := 0
	for _, i := range l {
		if i > from {
			n++
		}
	}
	return n
}

// TestWindowGrants checks that the budget is there to be used: a retry for each five requests, and the slack.
func TestWindowGrants(t *testing.T) {
	c := clock.NewFake()
	w := NewWindow(c, 0.2, func() float64 { return 1 }, 10*time.Second)
	for range 50 {
		w.First("s")
	}
	n := 0
	for w.Take("s") {
		n++
	}
	if n != 11 {
		t.Errorf("%d retries for 50 requests, want 11", n)
	}
	if w.Take("other") != true || w.Take("other") {
		t.Error("a service without requests has the slack and no more")
	}
}
