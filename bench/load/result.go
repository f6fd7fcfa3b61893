package load

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// Result holds all requests of a run with their answers.
type Result struct {
	Sent []Sent
	// Took is how long the run took, up to the last answer.
	Took time.Duration
}

// The maximum and the significant digits of the latency histograms.
const (
	maxLatency    = time.Minute
	latencyDigits = 3
)

// Summary holds the statistics of the requests of one class, or of all requests.
type Summary struct {
	Service  ident.Service
	Class    ident.Class
	Requests int
	Outcomes map[outcome.Outcome]int
	// Timely counts the answers Done within the deadline of their class.
	Timely int
	// Micros holds the latencies of the answers Done in microseconds.
	Micros *hdrhistogram.Histogram
}

func newSummary(s ident.Service, c ident.Class) *Summary {
	return &Summary{
		Service: s, Class: c, Outcomes: map[outcome.Outcome]int{},
		Micros: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits),
	}
}

func (s *Summary) add(n *Sent) {
	s.Requests++
	s.Outcomes[n.Answer.Outcome]++
	if n.Answer.Outcome != outcome.Done {
		return
	}
	_ = s.Micros.RecordValue(max(1, n.Latency.Microseconds()))
	if n.Latency <= time.Duration(n.Class.Deadline) {
		s.Timely++
	}
}

// Quantile returns a percentile of the latencies of the answers Done; q is in percent.
func (s *Summary) Quantile(q float64) time.Duration {
	return time.Duration(s.Micros.ValueAtQuantile(q)) * time.Microsecond
}

// Classes returns a summary for each class, in order of appearance.
func (r *Result) Classes() []*Summary {
	type classKey struct {
		service ident.Service
		class   ident.Class
	}
	summaries := map[classKey]*Summary{}
	var l []*Summary
	for i := range r.Sent {
		n := &r.Sent[i]
		k := classKey{n.Service.Name, n.Class.Name}
		if summaries[k] == nil {
			summaries[k] = newSummary(k.service, k.class)
			l = append(l, summaries[k])
		}
		summaries[k].add(n)
	}
	return l
}

// Total returns the summary of all requests.
func (r *Result) Total() *Summary {
	t := newSummary("all", "")
	for i := range r.Sent {
		t.add(&r.Sent[i])
	}
	return t
}

// Goodput returns the weight of the answers Done within their deadlines as a share of the weight of all requests.
func (r *Result) Goodput() float64 {
	good, all := 0, 0
	for i := range r.Sent {
		n := &r.Sent[i]
		w := int(n.Class.Weight)
		all += w
		if n.Answer.Outcome == outcome.Done && n.Latency <= time.Duration(n.Class.Deadline) {
			good += w
		}
	}
	return float64(good) / float64(max(all, 1))
}

// WriteTable prints a row for each class and one for all.
func (r *Result) WriteTable(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-15s %-12s %9s %7s %8s %8s %5s %9s %9s %9s\n",
		"Service", "Class", "Requests", "Done", "Not-run", "Unknown", "Cut", "p50 ms", "p99 ms", "p99.9 ms")
	for _, s := range append(r.Classes(), r.Total()) {
		o := s.Outcomes
		_, _ = fmt.Fprintf(w, "%-15s %-12s %9d %7d %8d %8d %5d %9.2f %9.2f %9.2f\n", s.Service, s.Class, s.Requests,
			o[outcome.Done], o[outcome.NotRun], o[outcome.Unknown], o[Cut],
			Milliseconds(s.Quantile(50)), Milliseconds(s.Quantile(99)), Milliseconds(s.Quantile(99.9)))
	}
	_, _ = fmt.Fprintf(w, "Goodput by weight: %.4f\n", r.Goodput())
}

// Milliseconds converts a duration to milliseconds for tables.
func Milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// After returns the requests whose intended send time is at or after the given time.
func (r *Result) After(d time.Duration) *Result {
	n := &Result{Took: r.Took}
	for i := range r.Sent {
		if r.Sent[i].At >= d {
			n.Sent = append(n.Sent, r.Sent[i])
		}
	}
	return n
}
