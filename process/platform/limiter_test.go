package platform

import (
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// TestLimiterBurst checks that calls wait only after the whole burst, and that the allowance recovers over time.
func TestLimiterBurst(t *testing.T) {
	c := clock.NewFake()
	l := NewLimiter(c)
	for i := range CallBurst {
		if d := l.reserve(c.Now()); d != 0 {
			t.Fatalf("call %d of the burst: wait %s, want 0s", i, d)
		}
	}
	if d := l.reserve(c.Now()); d != time.Second/CallsPerSecond {
		t.Fatalf("call after the burst: wait %s, want %s", d, time.Second/CallsPerSecond)
	}
	c.Advance(2 * time.Second / CallsPerSecond)
	if d := l.reserve(c.Now()); d != 0 {
		t.Fatalf("call after a pause: wait %s, want 0s", d)
	}
}

// TestLimiterBackoff checks the bounds of the wait after failed calls.
func TestLimiterBackoff(t *testing.T) {
	c := clock.NewFake()
	l := NewLimiter(c)
	for range 10 {
		l.recordOutcome(c.Now(), true)
		if d := l.reserve(c.Now()); d < minBackoff/2 || d > 2*maxBackoff {
			t.Fatalf("call right after a failure: wait %s, want %s to %s", d, minBackoff/2, 2*maxBackoff)
		}
		c.Advance(2 * maxBackoff)
		if d := l.reserve(c.Now()); d != 0 {
			t.Fatalf("call after the longest backoff: wait %s, want 0s", d)
		}
	}
}
