package admission

import (
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Request is a request to the service, as far as the decisions need it.
type Request struct {
	Route ident.Route
	// Priority is that of the caller's team or, without one, that of the route; 0 is the most urgent.
	Priority ident.Priority
	// Arrived is when the request began to look for a target: on its arrival at this VM, or after an earlier attempt.
	Arrived clock.Instant
	// LatencyObjective is the latency objective of the route; zero if it has none.
	LatencyObjective time.Duration
	// Deadline is when the response is due.
	Deadline clock.Instant
	// Waited is how long ago the caller sent its first attempt, as far as known; zero if it is the first one.
	Waited time.Duration

	// objective is when the response begins to lose value, counted from the caller's first attempt.
	objective clock.Instant
	// again is whether the request looks for a target after an earlier attempt.
	again bool
}

// Known reports whether the request has arrived before, so that it looks for another target.
func (r *Request) Known() bool {
	return r.objective != 0
}

// left returns the time left until the deadline.
func (r *Request) left(now clock.Instant) time.Duration {
	return max(r.Deadline.Sub(now), 0)
}

// Decision is what happens to a request on its arrival.
type Decision interface {
	decision()
}

// Admit means that the service is not saturated, so that the request looks for a target without waiting for a turn.
type Admit struct{}

// Wait means that the request waits for its turn.
type Wait struct{}

// Reject means that the request is rejected. It has not run, and its caller may return after RetryAfter.
type Reject struct {
	RetryAfter time.Duration
}

func (Admit) decision()  {}
func (Wait) decision()   {}
func (Reject) decision() {}
