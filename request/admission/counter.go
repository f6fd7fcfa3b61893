package admission

import (
	"math"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// counter is a sum whose parts lose weight exponentially with their age.
type counter struct {
	sum float64
	at  clock.Instant
}

// value returns the sum at the given instant; its parts lose weight by the factor e in the given time.
func (c *counter) value(now clock.Instant, decay time.Duration) float64 {
	if now <= c.at {
		return c.sum
	}
	return c.sum * math.Exp(-now.Sub(c.at).Seconds()/decay.Seconds())
}

// add adds n at the given instant. Instants of concurrent requests may be slightly out of order.
func (c *counter) add(now clock.Instant, decay time.Duration, n float64) {
	c.sum = c.value(now, decay) + n
	c.at = max(c.at, now)
}

// mean is an exponentially weighted mean of samples.
type mean struct {
	value float64
	known bool
}

func (m *mean) add(weight, v float64) {
	if !m.known {
		m.value, m.known = v, true
		return
	}
	m.value += weight * (v - m.value)
}
