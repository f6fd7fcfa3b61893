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
	// Surplus sends each of Count responses twice on the connection, so that the second one belongs to no request.
	Surplus Kind = "Surplus"
	// Late delays Count responses by For after the request has run.
	Late Kind = "Late"
	// Shed refuses Count requests without running them, as an overloaded upstream does.
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

// faults holds the faults in force; the fields with the suffix Left are the numbers of responses or requests that are
// still to be affected.
type faults struct {
	silentBefore  clock.Instant
	straggleUntil clock.Instant
	crossLeft     int
	truncateLeft  int
	surplusLeft   int
	lateLeft      int
	lateBy        time.Duration
	shedLeft      int
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
		s.faults.crossLeft = f.Count
	case Truncate:
		s.faults.truncateLeft = f.Count
	case Surplus:
		s.faults.surplusLeft = f.Count
	case Late:
		s.faults.lateLeft, s.faults.lateBy = f.Count, f.For
	case Shed:
		s.faults.shedLeft = f.Count
	case Leave:
		s.faults.leavingSince = now
	case Clear:
		s.faults = faults{}
	default:
		return fmt.Errorf("unknown fault %q", f.Kind)
	}
	return nil
}

// consume reports whether a fault with this remaining count applies, and decrements the count if so.
func consume(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}
