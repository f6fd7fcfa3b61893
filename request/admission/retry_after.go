package admission

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

const (
	// excessDelay is the retry delay for each time by which the demand exceeds the capacity.
	excessDelay = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the mean of the retry delays.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// honouredShare is the share of the time that a caller has left up to which it honours a retry delay.
	honouredShare = 1.0 / 3
	// spread is the width of the range of the retry delays, as a share of their mean, so that callers that were rejected
	// together don't return together.
	spread = 1.0
)

// RetryAfter returns the retry delay for a request that is rejected; random is in [0,1).
func (s *Service) RetryAfter(now clock.Instant, r *Request, random float64) time.Duration {
	demand := 0.0
	for i := range s.classes[:r.Priority+1] {
		demand += s.classes[i].demand.value(now, measureDecay) / measureDecay.Seconds()
	}
	excess := max(demand/s.capacity.perSecond(now)-1, 0)
	mean := min(max(time.Duration(excess*float64(excessDelay)), minRetryAfter), maxRetryAfter)
	most := time.Duration(honouredShare * float64(r.left(now)))
	// The mean is lowered instead of cutting off longer delays, which would let many callers return at the same time.
	mean = min(mean, time.Duration(float64(most)/(1+spread/2)))
	return time.Duration(float64(mean) * (1 - spread/2 + spread*random))
}
