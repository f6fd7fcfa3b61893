package allowance

import (
	"math"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// demandMemory is the time constant of the demand estimate. Demand moves between VMs within a second.
const demandMemory = 400 * time.Millisecond

// demand estimates a rate of requests or of tokens at this VM.
type demand struct {
	count float64
	at    clock.Instant
}

// add counts n requests.
func (d *demand) add(now clock.Instant, n int) {
	d.decay(now)
	d.count += float64(n)
}

// expected returns how many requests are expected within a time.
func (d *demand) expected(now clock.Instant, t time.Duration) float64 {
	d.decay(now)
	return d.count * t.Seconds() / demandMemory.Seconds()
}

func (d *demand) decay(now clock.Instant) {
	if now > d.at {
		d.count *= math.Exp(-now.Sub(d.at).Seconds() / demandMemory.Seconds())
		d.at = now
	}
}
