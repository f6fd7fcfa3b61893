package upstream

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// TestTrust runs sequences of events and checks the state after each: "+" is a success, "-" a failure, "." a wait of
// half a second and "b" the sending of a request.
func TestTrust(t *testing.T) {
	rows := []struct {
		name, events, state string
		usable              bool
	}{
		{"initial", "", trusted, true},
		{"one failure", "-", trusted, true},
		{"failures separated by a success", "-+-", trusted, true},
		{"two failures", "--", ejected, false},
		{"ejection time over", "--.", onTrial, true},
		{"one trial at a time", "--.b", onTrial, false},
		{"trial succeeds", "--.b+", trusted, true},
		{"trial fails", "--.b-", ejected, false},
		{"second ejection lasts longer", "--.b-.", ejected, false},
		{"second ejection time over", "--.b-..", onTrial, true},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			c := clock.NewFake()
			n := newTrust()
			for _, e := range r.events {
				switch e {
				case '+':
					n.recordSuccess()
				case '-':
					n.recordFailure(c.Now())
				case '.':
					c.Advance(minEjectionTime)
					n.usable(c.Now())
				case 'b':
					n.recordSend()
				}
			}
			if got := n.usable(c.Now()); got != r.usable || n.state() != r.state {
				t.Errorf("usable %t in state %s, want %t in %s", got, n.state(), r.usable, r.state)
			}
		})
	}
}

// TestTrustReturns checks that after any sequence of events a target gets a request again within maxEjectionTime.
func TestTrustReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		n := newTrust()
		for range rapid.IntRange(0, 50).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				n.recordSuccess()
			case 1:
				n.recordFailure(c.Now())
			case 2:
				n.recordInconclusive()
			case 3:
				c.Advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				n.usable(c.Now())
			}
		}
		c.Advance(maxEjectionTime)
		if !n.usable(c.Now()) {
			t.Fatalf("not usable %s after the last event, state %s, want usable", maxEjectionTime, n.state())
		}
	})
}

// TestEjectionReportedOnce checks that only the failure that ends the trust is reported, so that a target that stays
// away does not fill the log.
func TestEjectionReportedOnce(t *testing.T) {
	c := clock.NewFake()
	n := newTrust()
	reported := 0
	for range 100 {
		if n.recordFailure(c.Now()) {
			reported++
		}
		c.Advance(minEjectionTime)
		n.usable(c.Now())
	}
	if reported != 1 {
		t.Errorf("reported %d ejections, want 1", reported)
	}
}
