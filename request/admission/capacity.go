package admission

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

const (
	// priorBusy and priorServed are assumed besides what was seen, so that the capacity is not estimated from a single
	// request: 40 requests per second.
	priorBusy   = 50 * time.Millisecond
	priorServed = 2.0
)

// capacity estimates how many requests per second find a target while requests wait for one. While none waits, the
// rate shows only the demand.
type capacity struct {
	busy, served counter
	// since is when requests began to wait, or the end of the time that is counted in busy; zero while none waits.
	since clock.Instant
}

// observe records the time up to now, in which requests waited if waiting is true.
func (c *capacity) observe(now clock.Instant, waiting bool) {
	if c.since != 0 && now > c.since {
		c.busy.add(now, measureDecay, now.Sub(c.since).Seconds())
	}
	c.since = 0
	if waiting {
		c.since = now
	}
}

// serve records that a request has found a target.
func (c *capacity) serve(now clock.Instant) {
	if c.since != 0 {
		c.served.add(now, measureDecay, 1)
	}
}

// perSecond returns the estimated capacity in requests per second.
func (c *capacity) perSecond(now clock.Instant) float64 {
	busy := c.busy.value(now, measureDecay)
	if c.since != 0 && now > c.since {
		busy += now.Sub(c.since).Seconds()
	}
	return (c.served.value(now, measureDecay) + priorServed) / (busy + priorBusy.Seconds())
}
