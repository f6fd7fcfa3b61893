package rule

import (
	"testing"

	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// TestDecide checks the decision for each event that can end an attempt.
func TestDecide(t *testing.T) {
	rows := []struct {
		name       string
		event      outcome.Event
		idempotent bool
		want       Decision
	}{
		{"completed", outcome.Completed{}, false, Decision{Outcome: outcome.Done}},
		{"never written", outcome.NeverWritten{}, false, Decision{Retry: true, Outcome: outcome.NotRun}},
		{"never written, idempotent", outcome.NeverWritten{}, true, Decision{Retry: true, Outcome: outcome.NotRun}},
		{"refused", outcome.Refused{}, false, Decision{Retry: true, Outcome: outcome.NotRun}},
		{"broken", outcome.Broken{}, false, Decision{Outcome: outcome.Unknown}},
		{"broken, idempotent", outcome.Broken{}, true, Decision{Retry: true, Outcome: outcome.Unknown}},
		{"owner unresponsive", outcome.OwnerUnresponsive{}, false, Decision{Outcome: outcome.Unknown}},
		{"owner unresponsive, idempotent", outcome.OwnerUnresponsive{}, true,
			Decision{Retry: true, Outcome: outcome.Unknown}},
		{"rejected", outcome.Rejected{}, true, Decision{Outcome: outcome.NotRun}},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			if got := Decide(r.event, r.idempotent); got != r.want {
				t.Errorf("Decide = %+v, want %+v", got, r.want)
			}
		})
	}
}
