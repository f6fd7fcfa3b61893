package upstream

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// TestTrust holds rows of events, each with what it leaves: "+" success, "-" failure, "." half a second, "b" a send.
func TestTrust(t *testing.T) {
	rows := []struct {
		name, events, state string
		usable              bool
	}{
		{"new", "", trusted, true},
		{"one failure", "-", trusted, true},
		{"failures with a success between", "-+-", trusted, true},
		{"two failures", "--", ejected, false},
		{"pause over", "--.", onTrial, true},
		{"one trial at a time", "--.b", onTrial, false},
		{"trial succeeds", "--.b+", trusted, true},
		{"trial fails", "--.b-", ejected, false},
		{"second pause is longer", "--.b-.", ejected, false},
		{"second pause over", "--.b-..", onTrial, true},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			c := clock.NewFake()
			n := newTrust()
			for _, e := range r.events {
				switch e {
				case '+':
					n.success()
				case '-':
					n.failure(c.Now())
				case '.':
					c.Advance(minEjection)
					n.usable(c.Now())
				case 'b':
					n.begin()
				}
			}
			if got := n.usable(c.Now()); got != r.usable || n.state() != r.state {
				t.Errorf("usable %t in state %s, want %t in %s", got, n.state(), r.usable, r.state)
			}
		})
	}
}

// TestTrustReturns checks that whatever happened, a target is tried again within the longest pause.
func TestTrustReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		n := newTrust()
		for range rapid.IntRange(0, 50).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				n.success()
			case 1:
				n.failure(c.Now())
			case 2:
				n.neutral()
			case 3:
				c.Advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				n.usable(c.Now())
			}
		}
		c.Advance(maxEjection)
		if !n.usable(c.Now()) {
			t.Fatalf("not tried %s after the last failure, state %s", maxEjection, n.state())
		}
	})
}
