package load

import (
	"fmt"
	"io"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/standin/judge"
	"github.com/amaranthramp/amaranthramp/standin/server"
)

// Finding is one kind of violation with the number of its occurrences.
type Finding struct {
	Name  string
	Count int
	// Example is the ID of one affected request, if any is known.
	Example ident.Request
}

// CheckInvariants compares the answers with the verdict of the upstreams and returns a finding for each invariant.
func CheckInvariants(r *Result, v *judge.Verdict) []Finding {
	var ranUnreported, wrongAnswer, noOutcome Finding
	for i := range r.Sent {
		n := &r.Sent[i]
		switch n.Answer.Outcome {
		case outcome.NotRun:
			if v.Runs[n.Answer.ID] > 0 {
				ranUnreported.add(n.ID)
			}
		case outcome.Done:
			if !answersRequest(n) {
				wrongAnswer.add(n.ID)
			}
		case outcome.Unknown, Cut:
		default:
			noOutcome.add(n.ID)
		}
	}
	ranUnreported.Name, wrongAnswer.Name = "not-run but ran", "foreign or cut answer"
	noOutcome.Name = "answer without outcome"
	twice := Finding{Name: "ran twice", Count: len(v.RanTwice)}
	if len(v.RanTwice) > 0 {
		twice.Example = v.RanTwice[0]
	}
	return []Finding{
		twice,
		{Name: "key ran twice", Count: len(v.KeyRanTwice)},
		ranUnreported, wrongAnswer, noOutcome,
		{Name: "above cold limit", Count: v.AboveCold},
		{Name: "above slots + 1", Count: v.AboveSlots},
		{Name: "new work after leaving", Count: v.AfterLeaving},
		{Name: "new work after data centre out", Count: v.AfterOut},
		{Name: "above connection limit", Count: v.AboveConnections},
		{Name: "above probe budget", Count: v.AboveProbes},
	}
}

// answersRequest reports whether the answer is complete and belongs to the request. A request that was sent several
// times may get the answer to any attempt.
func answersRequest(n *Sent) bool {
	for k := 1; k <= maxSends; k++ {
		if n.Answer.Body == server.ResponseBody(resendID(n.ID, k)) {
			return true
		}
	}
	return false
}

// add counts an occurrence at a request.
func (f *Finding) add(id ident.Request) {
	f.Count++
	f.Example = id
}

// Violations returns the total number of violations.
func Violations(l []Finding) int {
	n := 0
	for _, f := range l {
		n += f.Count
	}
	return n
}

// WriteFindings prints a row for each invariant.
func WriteFindings(w io.Writer, l []Finding) {
	_, _ = fmt.Fprintf(w, "%-32s %10s  %s\n", "Violation", "Count", "Example")
	for _, f := range l {
		_, _ = fmt.Fprintf(w, "%-32s %10d  %s\n", f.Name, f.Count, f.Example)
	}
}
