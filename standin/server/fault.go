package server

import (
	"fmt"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Kind is the kind of a fault.
type Kind string

// Kinds of faults. Count is the number of affected responses or requests, For is a duration.
const (
	// Crash closes all connections and the listener, and restarts the upstream cold after For.
	Crash Kind = "Crash"
	// Cold makes the upstream cold again without warning and without closing connections.
	Cold Kind = "Cold"
	// Silence leaves requests on all connections that are open now without a response from now on.
	Silence Kind = "Silence"
	// Straggle makes service times longer for a part of each second, for the duration For.
	Straggle Kind = "Straggle"
	// Cross sends Count responses that belong to another request.
	Cross Kind = "Cross"
	// Truncate sends only the first half of Count responses.
	Truncate Kind = "Truncate"
	// Surplus sends a second response after each of Count responses.
	Surplus Kind = "Surplus"
	// Late delays Count responses by For after the request has run.
	Late Kind = "Late"
	// Shed refuses Count requests without running them.
	Shed Kind = "Shed"
	// Leave announces in every response that the upstream is leaving.
	Leave Kind = "Leave"
	// Clear ends all faults, also a Leave.
	Clear Kind = "Clear"
)

// Fault is a request to inject a fault.
type Fault struct {
	Kind  Kind
	Count int
	// For is encoded in nanoseconds.
	For time.Duration
}

// faults holds the faults in force; the numbers are what remains of Count.
type faults struct {
	silentBefore  clock.Instant
	straggleUntil clock.Instant
	cross         int
	truncate      int
	surplus       int
	late          int
	lateBy        time.Duration
	shed          int
	leavingSince  clock.Instant
}

// Apply injects a fault; it fails if its kind is unknown.
func (s *Server) Apply(f Fault) error {
	if f.Kind == Crash {
		s.crash(f.For)
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	switch f.Kind {
	case Cold:
		s.incarnation.turnCold()
	case Silence:
		s.faults.silentBefore = now
	case Straggle:
		s.faults.straggleUntil = now.Add(f.For)
	case Cross:
		s.faults.cross = f.Count
	case Truncate:
		s.faults.truncate = f.Count
	case Surplus:
		s.faults.surplus = f.Count
	case Late:
		s.faults.late, s.faults.lateBy = f.Count, f.For
	case Shed:
		s.faults.shed = f.Count
	case Leave:
		s.faults.leavingSince = now
	case Clear:
		s.faults = faults{}
	default:
		return fmt.Errorf("unknown fault %q", f.Kind)
	}
	return nil
}

// consume decrements the remaining count of a fault and reports whether the fault applies, which it does until zero.
func consume(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}
