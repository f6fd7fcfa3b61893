package rule

import "github.com/amaranthramp/amaranthramp/request/outcome"

// History combines the outcomes of all attempts of one request. A later attempt that certainly did not run does not
// rule out that an earlier one did.
type History struct {
	mayHaveRun bool
}

// Decide applies the retry rules to the event that ended the latest attempt. The returned outcome covers all attempts
// so far.
func (h *History) Decide(e outcome.Event, idempotent bool) Decision {
	d := Decide(e, idempotent)
	switch d.Outcome {
	case outcome.Unknown:
		h.mayHaveRun = true
	case outcome.NotRun:
		if h.mayHaveRun {
			d.Outcome = outcome.Unknown
		}
	}
	return d
}
