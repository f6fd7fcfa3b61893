package admission

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

const (
	// measureDecay is the time in which the weight of an attempt falls to 1/e.
	measureDecay = time.Second
	// priorSuccesses are successful attempts assumed besides those seen, so that a few failures don't make a service
	// saturated.
	priorSuccesses = 3.0
	// enterRatio and leaveRatio are the shares of successful attempts below which a service becomes saturated if requests
	// wait, and above which it ceases to be. They are apart so that the state doesn't change back and forth. Below
	// busyRatio it becomes saturated although none waits here, since they wait at the targets.
	enterRatio = 0.6
	busyRatio  = 0.3
	leaveRatio = 0.85
	// enterWait is how long requests must at least wait for a service to become saturated: two delays between attempts.
	enterWait = 50 * time.Millisecond
	// longWait is how long requests must wait for a service to become saturated although most attempts succeed.
	longWait = 100 * time.Millisecond
	// minFailed is the weight of failed attempts below which a service does not become saturated.
	minFailed = 4.0
	// waitWeight is the weight of one wait in the smoothed wait.
	waitWeight = 0.1
)

// saturation measures whether the attempts to find a target with capacity succeed.
type saturation struct {
	succeeded, failed counter
	// wait is the smoothed time in seconds from the arrival of a request to its success, or to the end of its wait.
	wait      mean
	saturated bool
}

func (s *saturation) attempt(now clock.Instant, ok bool) {
	if ok {
		s.succeeded.add(now, measureDecay, 1)
		return
	}
	s.failed.add(now, measureDecay, 1)
}

// ratio returns the weighted share of attempts that succeeded.
func (s *saturation) ratio(now clock.Instant) float64 {
	ok := s.succeeded.value(now, measureDecay) + priorSuccesses
	return ok / (ok + s.failed.value(now, measureDecay))
}

// update returns whether the service is saturated; oldest is how long the longest wait at present has lasted.
func (s *saturation) update(now clock.Instant, oldest time.Duration) bool {
	r := s.ratio(now)
	w := max(s.wait.value, oldest.Seconds())
	switch {
	case !s.saturated && s.failed.value(now, measureDecay) < minFailed:
	case !s.saturated:
		s.saturated = r < busyRatio || r < enterRatio && w >= enterWait.Seconds() || r < leaveRatio && w >= longWait.Seconds()
	case r > leaveRatio:
		s.saturated = false
		// The next period of saturation must show by waits of its own.
		s.wait = mean{}
	}
	return s.saturated
}
