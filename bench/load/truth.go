package load

import (
	"fmt"
	"io"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/standin/judge"
	"github.com/amaranthramp/amaranthramp/standin/server"
)

// Finding is one kind of violation with how often it was seen.
type Finding struct {
	Name  string
	Count int
	// Example is the id of one request that it concerns, if any.
	Example ident.Request
}

// Truth compares the answers with the upstreams' judgement and returns a finding for each invariant.
func Truth(r *Result, v *judge.Verdict) []Finding {
	var untrue, foreign, silent Finding
	for i := range r.Sent {
		n := &r.Sent[i]
		switch n.Answer.Outcome {
		case outcome.NotRun:
			if v.Runs[n.Answer.ID] > 0 {
				untrue.note(n.ID)
			}
		case outcome.Done:
			if !ownAnswer(n) {
				foreign.note(n.ID)
			}
		case outcome.Unknown, Cut:
		default:
			silent.note(n.ID)
		}
	}
	untrue.Name, foreign.Name, silent.Name = "not-run but ran", "foreign or cut answer", "answer without outcome"
	twice := Finding{Name: "ran twice", Count: len(v.RanTwice)}
	if len(v.RanTwice) > 0 {
		twice.Example = v.RanTwice[0]
	}
	return []Finding{
		twice,
		{Name: "key ran twice", Count: len(v.KeyRanTwice)},
		untrue, foreign, silent,
		{Name: "above cold limit", Count: v.AboveCold},
		{Name: "above slots + 1", Count: v.AboveSlots},
		{Name: "new work after leaving", Count: v.AfterLeaving},
		{Name: "new work after data centre out", Count: v.AfterOut},
		{Name: "above connection limit", Count: v.AboveConnections},
		{Name: "above probe budget", Count: v.AboveProbes},
	}
}

// ownAnswer reports whether the answer is whole and belongs to the request; a request that was sent again may get the
// answer to an earlier time.
func ownAnswer(n *Sent) bool {
	for k := 1; k <= maxSends; k++ {
		if n.Answer.Body == server.ResponseBody(resendID(n.ID, k)) {
			return true
		}
	}
	return false
}

func (f *Finding) note(id ident.Request) {
	f.Count++
	f.Example = id
}

// Violations sums the findings.
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
