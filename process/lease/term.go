package lease

import "time"

// Term is how long a lease is valid on the holder's clock after its renewal was sent.
const Term = 1500 * time.Millisecond

// RenewalInterval is the time between two renewals of a lease.
const RenewalInterval = 300 * time.Millisecond

// driftDivisor sets the part, d/driftDivisor, that is added to a duration measured by another VM's clock. 1/32 covers
// two clocks that each run up to 1% fast or slow.
const driftDivisor = 32

// AllowClockDrift returns a duration on this VM's clock that is at least as long as d on another VM's clock.
func AllowClockDrift(d time.Duration) time.Duration {
	return d + d/driftDivisor
}
