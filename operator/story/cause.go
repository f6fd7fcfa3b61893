package story

import (
	"fmt"
	"strings"
)

// cause explains the result of the request in one sentence.
func (e *Explanation) cause() string {
	var answer, attempt, through *Line
	for i := range e.Lines {
		switch e.Lines[i].Message {
		case "request answered":
			answer = &e.Lines[i]
		case "attempt ended":
			attempt = &e.Lines[i]
		case "attempt through another VM ended":
			through = &e.Lines[i]
		}
	}
	switch {
	case answer == nil:
		return "no final log line: the VM stopped before it answered, or the line was dropped"
	case answer.Outcome == "not-run":
		return notRunCause(answer)
	case attempt == nil && through != nil:
		return fmt.Sprintf("sent through VM %s, since no target responded to this one: %s, status %d after %.0f ms; the "+
			"log of %s has the rest", through.Member, through.End, through.Status, through.Took, through.Member)
	case attempt == nil:
		return "no attempt was logged"
	case answer.Outcome == "unknown":
		return unknownOutcomeCause(attempt)
	case answer.Status >= 500:
		return fmt.Sprintf("target %s ran the request and answered with status %d", attempt.Target, attempt.Status)
	case answer.Objective > 0 && answer.Took > answer.Objective:
		return lateResponseCause(answer, attempt)
	default:
		return fmt.Sprintf("answered with status %d in %.0f ms", answer.Status, answer.Took)
	}
}

// notRunCause explains why no target ran the request.
func notRunCause(l *Line) string {
	switch l.Reason {
	case "overload":
		return "not run: no target could have answered in time, and the time limit for waiting for one had passed"
	case "no-target":
		return "not run: the service had no target to which new requests may be sent"
	case "no-service":
		return "not run: no route was known for the request"
	case "cancelled":
		return "not run: the caller cancelled the request before a target was chosen"
	case "shed":
		return "not run: all targets that were tried refused the request, and no further attempt was allowed"
	case "unreachable":
		return "not run: no target could be reached, and no other VM that reaches one"
	default:
		return "not run: " + l.Reason
	}
}

// unknownOutcomeCause explains, from the last attempt, why it is unknown whether the request ran.
func unknownOutcomeCause(a *Line) string {
	switch strings.TrimPrefix(a.End, "broken: ") {
	case "expired":
		return fmt.Sprintf("target %s had not answered after %.0f ms when the deadline passed; the request may have run",
			a.Target, a.Took)
	case "cancelled":
		return fmt.Sprintf("the caller cancelled the request %.0f ms after it was sent to target %s; it may have run",
			a.Took, a.Target)
	case "silent":
		return fmt.Sprintf("target %s was not running the request after %.0f ms; it may have run before", a.Target, a.Took)
	case "reset", "truncated":
		return fmt.Sprintf("target %s closed the connection after %.0f ms without a complete response; the request may "+
			"have run", a.Target, a.Took)
	case "crossed":
		return fmt.Sprintf("target %s sent the response of another request; the request may have run", a.Target)
	default:
		return fmt.Sprintf("target %s: %s; the request may have run", a.Target, a.End)
	}
}

// lateResponseCause explains on what a request that exceeded its latency objective spent its time.
func lateResponseCause(answer, a *Line) string {
	before := answer.Took - a.Took
	switch {
	case answer.Attempts > 1:
		return fmt.Sprintf("late: %d attempts, the last one at target %s took %.0f of %.0f ms", answer.Attempts, a.Target,
			a.Took, answer.Took)
	case before > a.Took:
		return fmt.Sprintf("late: %.0f of %.0f ms passed before a target was chosen", before, answer.Took)
	case a.Pace == 0:
		return fmt.Sprintf("late: target %s, chosen without a load report, took %.0f ms", a.Target, a.Took)
	default:
		return fmt.Sprintf("late: target %s took %.0f ms; when chosen, it had %d running and %d waiting requests and "+
			"took %.1f times the normal duration for a request", a.Target, a.Took, a.Running, a.Waiting, a.Pace)
	}
}
