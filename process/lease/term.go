package lease

import "time"

// Term is how long a lease lasts on the holder's clock from the instant at which its renewal was sent.
const Term = 1500 * time.Millisecond

// Renewal is the pause between two renewals of a lease.
const RenewalInterval = 300 * time.Millisecond

// driftShare is the part that is added to a duration measured by another machine's clock; it covers two clocks
// that each run up to 1% fast or slow.
const driftDivisor = 32

// Widen returns a duration on this machine's clock that is surely not shorter than d on another machine's.
func AllowClockDrift(d time.Duration) time.Duration {
	return d + d/driftDivisor
}
