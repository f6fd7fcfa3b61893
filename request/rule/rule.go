package rule

import "github.com/amaranthramp/amaranthramp/request/outcome"

// Decision states whether a request may be retried, and its outcome if it is not.
type Decision struct {
	Retry   bool
	Outcome outcome.Outcome
}

// Decide applies the retry rules to the event that ended an attempt. The retry budget, the deadline and the limit on
// attempts may still prevent a retry that it allows.
//
// A non-idempotent request is retried only if it certainly did not run; otherwise it could run more than once.
func Decide(e outcome.Event, idempotent bool) Decision {
	switch e.(type) {
	case outcome.Completed:
		return Decision{Outcome: outcome.Done}
	case outcome.NeverWritten, outcome.Refused:
		return Decision{Retry: true, Outcome: outcome.NotRun}
	case outcome.Broken, outcome.OwnerUnresponsive:
		return Decision{Retry: idempotent, Outcome: outcome.Unknown}
	case outcome.Rejected:
		return Decision{Outcome: outcome.NotRun}
	default:
		return Decision{Outcome: outcome.Unknown}
	}
}
