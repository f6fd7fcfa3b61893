package rule

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// TestHistory checks, for random sequences of attempts, that the outcome is not-run exactly when no attempt may have
// run.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := rapid.SliceOfN(rapid.SampledFrom([]outcome.Event{
			outcome.NeverWritten{}, outcome.Refused{}, outcome.Broken{}, outcome.OwnerUnresponsive{}, outcome.Rejected{},
		}), 1, 5).Draw(t, "events")
		var h History
		ran := false
		for _, e := range l {
			switch e.(type) {
			case outcome.Broken, outcome.OwnerUnresponsive:
				ran = true
			}
			if d := h.Decide(e, true); (d.Outcome == outcome.NotRun) == ran {
				t.Fatalf("outcome %s, an attempt may have run: %t; want not-run only if none may have", d.Outcome, ran)
			}
		}
	})
}
