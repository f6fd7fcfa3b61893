package retry

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// TestWindow checks, for random timings of requests and retries, that every period of the window's length keeps the
// limit.
func TestWindow(t *testing.T) {
	const share, slack, length = 0.2, 2.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		w := NewSlidingWindow(c, share, func() float64 { return slack }, length)
		var requests, retries []clock.Instant
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			c.Advance(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				w.RecordFirstAttempt("s")
				requests = append(requests, c.Now())
				continue
			}
			if r := w.Take("s"); r != nil {
				r.Sent()
				retries = append(retries, c.Now())
			}
		}
		checkLimit(t, requests, retries, share, slack, length)
	})
}

func countSince(l []clock.Instant, from clock.Instant) int {
	n := 0
	for _, i := range l {
		if i > from {
			n++
		}
	}
	return n
}

// TestWindowGrants checks that nearly the whole limit can be used under a steady load: one retry per five requests,
// plus the slack. Rounding to intervals may cost one retry in a window.
func TestWindowGrants(t *testing.T) {
	const perSecond, length = 20, 10 * time.Second
	c := clock.NewFake()
	w := NewSlidingWindow(c, 0.2, func() float64 { return 1 }, length)
	if w.Take("s") != nil {
		t.Error("retry granted out of the slack in the first window of the process, want none")
	}
	n := 0
	for i := range perSecond * 30 {
		c.Advance(time.Second / perSecond)
		w.RecordFirstAttempt("s")
		// The first two windows pass without retries.
		if i < perSecond*20 {
			continue
		}
		for {
			r := w.Take("s")
			if r == nil {
				break
			}
			r.Sent()
			n++
		}
	}
	if n < 40 || n > 41 {
		t.Errorf("%d retries for 200 requests in 10 s, want 40 or 41", n)
	}
	if w.Take("other") == nil || w.Take("other") != nil {
		t.Error("service without requests was granted no retry or more than one, want exactly the slack of 1")
	}
}

// TestRetrySentLater checks, for retries that wait before they are sent, that no period of the window's length contains
// more of them than the slack, and that those that are cancelled are not counted.
func TestRetrySentLater(t *testing.T) {
	const slack, length = 3.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		w := NewSlidingWindow(c, 0, func() float64 { return slack }, length)
		c.Advance(length)
		var waiting []*Retry
		var sent []clock.Instant
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			c.Advance(time.Duration(rapid.IntRange(0, 1200).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(-1, len(waiting)-1).Draw(t, "retry")
			if i < 0 {
				if r := w.Take("s"); r != nil {
					waiting = append(waiting, r)
				}
				continue
			}
			if rapid.IntRange(0, 4).Draw(t, "cancelled") == 0 {
				waiting[i].Cancel()
			} else {
				waiting[i].Sent()
				sent = append(sent, c.Now())
			}
			waiting = slices.Delete(waiting, i, i+1)
			if n := countSince(sent, c.Now().Add(-length)); n > slack {
				t.Fatalf("%d retries sent in the last %s, want at most %.0f", n, length, slack)
			}
		}
		for _, r := range waiting {
			r.Cancel()
		}
		c.Advance(length + length/intervalCount)
		for range int(slack) {
			if w.Take("s") == nil {
				t.Fatal("retry denied after all others have ended, want it allowed")
			}
		}
	})
}
