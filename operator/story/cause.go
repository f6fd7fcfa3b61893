package story

import (
	"fmt"
	"strings"
)

// cause says in one sentence why the request ended as it did.
func (s *Story) cause() string {
	var last, attempt *Line
	for i := range s.Lines {
		switch s.Lines[i].Message {
		case "request answered":
			last = &s.Lines[i]
		case "attempt ended":
			attempt = &s.Lines[i]
		}
	}
	switch {
	case last == nil:
		return "no final line: the VM ended before the answer, or the line was dropped"
	case last.Outcome == "not-run":
		return notRun(last)
	case attempt == nil:
		return "no attempt is logged"
	case last.Outcome == "unknown":
		return unknown(attempt)
	case last.Status >= 500:
		return fmt.Sprintf("target %s ran it and answered %d", attempt.Target, attempt.Status)
	case last.Objective > 0 && last.Took > last.Objective:
		return s.late(last, attempt)
	default:
		return fmt.Sprintf("answered with %d in %.0f ms", last.Status, last.Took)
	}
}

func notRun(l *Line) string {
	switch l.Reason {
	case "overload":
		return "it did not run: no target would have answered in time, and the time to wait for one was over"
	case "no-target":
		return "it did not run: the service had no target that may get new work"
	case "no-service":
		return "it did not run: no route was known for it"
	case "cancelled":
		return "it did not run: its caller left before a target was found"
	case "shed":
		return "it did not run: the targets that were tried refused it, and no further attempt was allowed"
	case "unreachable":
		return "it did not run: the target that was chosen could not be reached"
	default:
		return "it did not run: " + l.Reason
	}
}

func unknown(a *Line) string {
	switch strings.TrimPrefix(a.End, "broken: ") {
	case "expired":
		return fmt.Sprintf("target %s had not answered after %.0f ms when its time was over; it may have run", a.Target,
			a.Took)
	case "cancelled":
		return fmt.Sprintf("its caller left after target %s had had it for %.0f ms; it may have run", a.Target, a.Took)
	case "silent":
		return fmt.Sprintf("target %s did not run it after %.0f ms; it may have run before", a.Target, a.Took)
	case "reset", "truncated":
		return fmt.Sprintf("target %s ended the connection after %.0f ms without a whole answer; it may have run", a.Target,
			a.Took)
	case "crossed":
		return fmt.Sprintf("target %s answered another request in its place; it may have run", a.Target)
	default:
		return fmt.Sprintf("target %s: %s; it may have run", a.Target, a.End)
	}
}

// late says what of the time went where.
func (s *Story) late(last, a *Line) string {
	before := last.Took - a.Took
	switch {
	case last.Attempts > 1:
		return fmt.Sprintf("late: %d attempts, the last one at target %s took %.0f of %.0f ms", last.Attempts, a.Target,
			a.Took, last.Took)
	case before > a.Took:
		return fmt.Sprintf("late: %.0f of %.0f ms went by before a target was found", before, last.Took)
	case a.Pace == 0:
		return fmt.Sprintf("late: target %s, chosen without a report, took %.0f ms", a.Target, a.Took)
	default:
		return fmt.Sprintf("late: target %s took %.0f ms; it had %d running, %d waiting and pace %.1f when it was chosen",
			a.Target, a.Took, a.Running, a.Waiting, a.Pace)
	}
}
