package admission

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

const (
	// minShare is the least share of the rate at which all requests are served at which those of each priority are.
	minShare = 0.25
	// starvedShare is the share below which a priority goes first. It is above minShare, since a turn may fail.
	starvedShare = 0.3
	// fairDecay is the time in which the weight of a request in the shares of the priorities falls to 1/e.
	fairDecay = 4 * time.Second
)

// class is what is known of the requests of one priority.
type class struct {
	// arrived and served count the requests that arrived and that found a target, over fairDecay.
	arrived, served counter
	// demand counts those that arrived, and inTime those of them that could still meet their objective, over
	// measureDecay.
	demand, inTime counter
	capacity       capacity
	stats          Stats
}

// starvedClasses tells for each priority whether it gets too small a share.
type starvedClasses [lowestPriority + 1]bool

// starved returns the priorities whose requests are served less than starvedShare as often as all together.
func (s *Service) starved(now clock.Instant) starvedClasses {
	var l starvedClasses
	arrived, served := 0.0, 0.0
	for i := range s.classes {
		arrived += s.classes[i].arrived.value(now, fairDecay)
		served += s.classes[i].served.value(now, fairDecay)
	}
	if arrived == 0 {
		return l
	}
	for i := range s.classes {
		c := &s.classes[i]
		l[i] = c.served.value(now, fairDecay) < starvedShare*served/arrived*c.arrived.value(now, fairDecay)
	}
	return l
}

// before reports whether the turn of a comes before that of b: first the priorities that get too small a share, then
// the more urgent ones, then those that can still meet their objective, then the earlier objective.
func (s *Service) before(now clock.Instant, starved starvedClasses, a, b *Request) bool {
	if x, y := starved[a.Priority], starved[b.Priority]; x != y {
		return x
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if x, y := s.canMeet(now, a), s.canMeet(now, b); x != y {
		return x
	}
	if a.objective != b.objective {
		return a.objective < b.objective
	}
	return a.Arrived < b.Arrived
}
