package load

import (
	"fmt"
	"io"
	"slices"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// failureKind groups the requests that were not answered successfully.
type failureKind struct {
	service ident.Service
	outcome outcome.Outcome
	reason  outcome.Reason
}

// WriteReasons prints how often callers got each outcome other than Done with each reason, the most frequent first.
func (r *Result) WriteReasons(w io.Writer) {
	n := map[failureKind]int{}
	for i := range r.Sent {
		s := &r.Sent[i]
		if s.Answer.Outcome != outcome.Done {
			n[failureKind{s.Service.Name, s.Answer.Outcome, s.Answer.Reason}]++
		}
	}
	l := make([]failureKind, 0, len(n))
	for u := range n {
		l = append(l, u)
	}
	slices.SortFunc(l, func(a, b failureKind) int { return n[b] - n[a] })
	for _, u := range l {
		_, _ = fmt.Fprintf(w, "%6d x %s, %s: %s\n", n[u], u.outcome, u.service, u.reason)
	}
}
