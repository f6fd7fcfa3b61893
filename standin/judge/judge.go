package judge

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/standin/server"
)

// FaultRequest is a request to inject a fault into the upstreams with these names and in this data centre. An empty
// field matches all upstreams.
type FaultRequest struct {
	Upstream   []ident.Upstream
	DataCentre ident.DataCentre
	Fault      server.Fault
}

// Outage records that operators have taken a data centre out, or back in.
type Outage struct {
	DataCentre ident.DataCentre
	Out        bool
}

// Verdict holds the reports of all upstreams and the violations over all of them.
type Verdict struct {
	Upstream []server.Report
	// Runs is the number of runs of each request over all upstreams.
	Runs map[ident.Request]int
	// RanTwice are the ids of the requests that are not idempotent but ran more than once.
	RanTwice []ident.Request
	// KeyRanTwice are the idempotency keys with more than one run.
	KeyRanTwice []ident.Key
	server.Violations
}

// Sum returns the total number of violations.
func (v *Verdict) Sum() int {
	return v.Violations.Sum() + len(v.RanTwice) + len(v.KeyRanTwice)
}

// Judge collects the reports of the upstreams of one process and injects faults into them.
type Judge struct {
	servers []*server.Server
}

// New returns a judge for the given upstreams.
func New(l []*server.Server) *Judge {
	return &Judge{servers: l}
}

// Verdict evaluates the current reports of all upstreams.
func (j *Judge) Verdict() *Verdict {
	v := &Verdict{Runs: map[ident.Request]int{}}
	keys := map[ident.Key]int{}
	once := map[ident.Request]bool{}
	for _, s := range j.servers {
		r := s.Report()
		for id, n := range r.Runs {
			v.Runs[id] += n
		}
		for k, n := range r.KeyRuns {
			keys[k] += n
		}
		for id := range r.Once {
			once[id] = true
		}
		v.add(r.Violations)
		r.Runs, r.KeyRuns, r.Once = nil, nil, nil
		v.Upstream = append(v.Upstream, r)
	}
	for id := range once {
		if v.Runs[id] > 1 {
			v.RanTwice = append(v.RanTwice, id)
		}
	}
	for k, n := range keys {
		if n > 1 {
			v.KeyRanTwice = append(v.KeyRanTwice, k)
		}
	}
	return v
}

// add adds the violations of one upstream.
func (v *Verdict) add(o server.Violations) {
	v.AboveCold += o.AboveCold
	v.AboveSlots += o.AboveSlots
	v.AfterLeaving += o.AfterLeaving
	v.AfterOut += o.AfterOut
	v.AboveConnections += o.AboveConnections
	v.AboveProbes += o.AboveProbes
}

// Apply injects the fault of a request; it fails if no upstream matches or the kind of the fault is unknown.
func (j *Judge) Apply(q FaultRequest) error {
	n := 0
	for _, s := range j.servers {
		if !q.matches(s) {
			continue
		}
		if err := s.Apply(q.Fault); err != nil {
			return err
		}
		n++
	}
	if n == 0 {
		return fmt.Errorf("no upstream matches the names %v and the data centre %q", q.Upstream, q.DataCentre)
	}
	return nil
}

// SetOut records an outage at the upstreams of the data centre; it fails if there are none.
func (j *Judge) SetOut(o Outage) error {
	n := 0
	for _, s := range j.servers {
		if s.DataCentre() == o.DataCentre {
			s.SetOut(o.Out)
			n++
		}
	}
	if n == 0 {
		return fmt.Errorf("no upstream in data centre %q", o.DataCentre)
	}
	return nil
}

// matches reports whether the fault is to be injected into the upstream.
func (q *FaultRequest) matches(s *server.Server) bool {
	if q.DataCentre != "" && q.DataCentre != s.DataCentre() {
		return false
	}
	for _, n := range q.Upstream {
		if n == s.Name() {
			return true
		}
	}
	return len(q.Upstream) == 0
}

// Handler returns a handler for GET /judge, which returns the Verdict, POST /judge/faults, which takes an Order, and
// POST /judge/out, which takes an Outage.
func (j *Judge) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /judge", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(j.Verdict())
	})
	m.HandleFunc("POST /judge/faults", func(w http.ResponseWriter, r *http.Request) { handleJSON(w, r, j.Apply) })
	m.HandleFunc("POST /judge/out", func(w http.ResponseWriter, r *http.Request) { handleJSON(w, r, j.SetOut) })
	return m
}

// maxBodyBytes is the maximum size of the body of a request to the judge.
const maxBodyBytes = 1 << 16

// handleJSON decodes the body of a request and calls f with it. Errors are answered with status 400.
func handleJSON[T any](w http.ResponseWriter, r *http.Request, f func(T) error) {
	var o T
	d := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(&o)
	if err == nil {
		err = f(o)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
