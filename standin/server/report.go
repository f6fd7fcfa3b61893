package server

import (
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// ArrivalGrace is how long new requests may still arrive after an upstream started to leave or its data centre was
// taken out.
const ArrivalGrace = 3 * time.Second

// extraInFlight is how many requests may be in flight at a warm upstream in addition to its slots.
const extraInFlight = 1

// Report holds the counters of one upstream.
type Report struct {
	Name       ident.Upstream
	Service    ident.Service
	DataCentre ident.DataCentre
	// Runs is the number of runs of each request id.
	Runs map[ident.Request]int
	// KeyRuns is the number of runs of each idempotency key.
	KeyRuns map[ident.Key]int
	// Once holds the ids of the requests that are not idempotent.
	Once map[ident.Request]bool
	// LastStart is the time at which the last request arrived, also one that did not run.
	LastStart clock.Instant
	// MaxGap is the longest time without an arrival after the first one.
	MaxGap time.Duration
	// MaxInFlight is the highest number of requests in flight.
	MaxInFlight int
	// MaxConnections is the highest number of open connections.
	MaxConnections int
	// Connections is the total number of connections.
	Connections int
	Probes      int
	// Refused is the number of requests that were refused without a run.
	Refused int
	// Cancelled is the number of admitted requests that did not complete, because they were cancelled or expired, or the
	// upstream crashed.
	Cancelled int
	Crashes   int
	// UnwarnedCold is the number of arrivals above the cold limit that are no violation, since the owner could not know of
	// the cold start yet.
	UnwarnedCold int
	Slots        ident.Slots
	// Up is the time since the counters were started.
	Up time.Duration
	// ProbeTime is the slot time used by probes: the sum of the times for which they occupied slots.
	ProbeTime time.Duration
	// Traces describe the first violations, at most maxTraces.
	Traces []Trace
	Violations
}

// maxTraces is the maximum number of traces of one upstream.
const maxTraces = 10

// Trace describes one violation of a limit: the request whose arrival violated it, and the state of the upstream then.
type Trace struct {
	// What names the violated limit.
	What string
	At   clock.Instant
	// Arrived is the request whose arrival violated the limit.
	Arrived  ident.Request
	InFlight []InFlightRequest
	// Incarnation and Completed show how many requests have completed since the cold start.
	Incarnation int
	Completed   int
}

// InFlightRequest is one of the requests in flight in a trace.
type InFlightRequest struct {
	ID    ident.Request
	Since clock.Instant
	// Waiting is true while the request waits for a slot.
	Waiting bool
	// Gone is true if the sender has cancelled the request, which is about to release its slot.
	Gone bool
}

// Violations are the numbers of violated limits of one upstream; in a correct system all are zero.
type Violations struct {
	// AboveCold is the number of arrivals above the cold limit while the upstream was cold and its owner, the VM that
	// dispatches to it, could know it.
	AboveCold int
	// AboveSlots is the number of arrivals above the slots plus the one request that may wait.
	AboveSlots int
	// AfterLeaving is the number of arrivals later than ArrivalGrace after the upstream started to leave.
	AfterLeaving int
	// AfterOut is the number of arrivals later than ArrivalGrace after the data centre was taken out.
	AfterOut int
	// AboveConnections is the number of connections that were opened while the limit of open connections was reached.
	AboveConnections int
	// AboveProbes is 1 if probes used more slot time than the budget allows.
	AboveProbes int
}

// Sum returns the total number of violations.
func (v Violations) Sum() int {
	return v.AboveCold + v.AboveSlots + v.AfterLeaving + v.AfterOut + v.AboveConnections + v.AboveProbes
}

// SetOut records whether operators have taken out the data centre of the upstream.
func (s *Server) SetOut(out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takenOutAt = 0
	if out {
		s.takenOutAt = s.clock.Now()
	}
}

// Report returns a copy of the counters.
func (s *Server) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.report
	r.Up = s.clock.Now().Sub(s.started)
	if r.LastStart != 0 {
		r.MaxGap = max(r.MaxGap, s.clock.Now().Sub(r.LastStart))
	}
	r.ProbeTime = time.Duration(r.Probes) * s.probeCost()
	r.Runs = cloneMap(r.Runs)
	r.KeyRuns = cloneMap(r.KeyRuns)
	r.Once = cloneMap(r.Once)
	// The budget grows over time; one probe is allowed in advance of it.
	budget := time.Duration(float64(r.Up)*float64(s.options.Service.Slots)*float64(s.options.ProbeShare)) + s.probeCost()
	if r.ProbeTime > budget {
		r.AboveProbes = 1
	}
	return r
}

// countArrival counts an arriving request and the limits that it violates; s.mu is held.
func (s *Server) countArrival(l *incarnation, id ident.Request) {
	now := s.clock.Now()
	r := &s.report
	if r.LastStart != 0 {
		r.MaxGap = max(r.MaxGap, now.Sub(r.LastStart))
	}
	r.LastStart = now
	inFlight := l.countAwaited()
	r.MaxInFlight = max(r.MaxInFlight, inFlight)
	if l.cold && inFlight > int(s.options.Service.ColdLimit) {
		if l.ownerKnowsCold(now) {
			r.AboveCold++
			s.trace(l, id, "above cold limit")
		} else {
			r.UnwarnedCold++
		}
	}
	if inFlight > int(s.options.Service.Slots)+extraInFlight {
		r.AboveSlots++
		s.trace(l, id, "above slots + 1")
	}
	if t := s.faults.leavingSince; t != 0 && now.Sub(t) > ArrivalGrace {
		r.AfterLeaving++
		s.trace(l, id, "after leaving")
	}
	if t := s.takenOutAt; t != 0 && now.Sub(t) > ArrivalGrace {
		r.AfterOut++
		s.trace(l, id, "after data centre out")
	}
}

// trace records the requests in flight; s.mu is held.
func (s *Server) trace(l *incarnation, id ident.Request, what string) {
	if len(s.report.Traces) >= maxTraces {
		return
	}
	t := Trace{What: what, At: s.clock.Now(), Arrived: id, Incarnation: l.number, Completed: l.completed}
	for n := range l.requests {
		t.InFlight = append(t.InFlight, InFlightRequest{ID: n.id, Since: n.since, Waiting: !n.started, Gone: n.cancelled()})
	}
	s.report.Traces = append(s.report.Traces, t)
}

// countRun counts a run of a request; s.mu is held.
func (s *Server) countRun(id ident.Request, k ident.Key, c *config.Class) {
	s.report.Runs[id]++
	if k != "" {
		s.report.KeyRuns[k]++
	}
	if c != nil && !c.Idempotent {
		s.report.Once[id] = true
	}
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	r := make(map[K]V, len(m))
	for k, v := range m {
		r[k] = v
	}
	return r
}
