package admission

import (
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// verdict is whether a request may wait while the service is saturated.
type verdict int

const (
	verdictWait verdict = iota
	// verdictFull means that its wait would be too long.
	verdictFull
	// verdictLate means that it would be late, and that others need the capacity.
	verdictLate
)

// Stats counts the decisions on the requests of one priority since the start of the process.
type Stats struct {
	// Admitted were admitted at once, Waited had to wait for a turn.
	Admitted, Waited uint64
	// Full were rejected on arrival since their wait would have been too long, Late since they would have been late.
	Full, Late uint64
	// Sent found a target, GaveUp did not.
	Sent, GaveUp uint64
	// WaitSum is the time for which those that found a target looked for it, in total.
	WaitSum time.Duration
}

// Add adds the counts of o.
func (s *Stats) Add(o *Stats) {
	s.Admitted += o.Admitted
	s.Waited += o.Waited
	s.Full += o.Full
	s.Late += o.Late
	s.Sent += o.Sent
	s.GaveUp += o.GaveUp
	s.WaitSum += o.WaitSum
}

func (s *Stats) count(v verdict) {
	switch v {
	case verdictFull:
		s.Full++
	case verdictLate:
		s.Late++
	}
}

// Load is the state of a service at one instant.
type Load struct {
	Saturated bool
	// Changes counts how often the service became or ceased to be saturated.
	Changes uint64
	// Success is the weighted share of the attempts to find a target that succeeded.
	Success ident.Share
	// Wait is the smoothed time for which requests looked for a target.
	Wait time.Duration
	// Capacity is how many requests per second find a target while others wait.
	Capacity ident.Rate
	Waiting  int
	// Classes holds the counts of each priority, the most urgent first.
	Classes [lowestPriority + 1]Stats
}

// Changes returns how often the service became or ceased to be saturated.
func (s *Service) Changes(now clock.Instant) uint64 {
	s.Saturated(now)
	return s.changes
}

// Load returns the state at the given instant.
func (s *Service) Load(now clock.Instant) Load {
	l := Load{
		Saturated: s.Saturated(now), Changes: s.changes, Success: ident.Share(s.saturation.ratio(now)),
		Wait:     time.Duration(s.saturation.wait.value * float64(time.Second)),
		Capacity: ident.Rate(s.capacity.perSecond(now)), Waiting: len(s.waiting),
	}
	for i := range s.classes {
		l.Classes[i] = s.classes[i].stats
	}
	return l
}
