package exchange

import (
	"sync"
	"time"
)

// Limits on the response timeout, after which a connection is suspected to be stalled.
const (
	minResponseTimeout     = 100 * time.Millisecond
	minPeerResponseTimeout = 400 * time.Millisecond
	// timeoutFactor multiplies the usual longest response time.
	timeoutFactor = 4
	// deviationFactor is how many deviations are added to the mean to get the usual longest response time.
	deviationFactor = 4
	// smoothingDivisor is the inverse of the weight of a new sample in the mean and in the deviation.
	smoothingDivisor = 8
	// maxDoublings limits how often the timeout is doubled.
	maxDoublings = 6
)

// latencyEstimator derives the response timeout from the mean response time and its deviation, as TCP does for its
// retransmission timer; it is safe for concurrent use.
type latencyEstimator struct {
	minTimeout time.Duration

	mu        sync.Mutex
	mean      time.Duration
	deviation time.Duration
	// doublings is how many times the timeout is doubled after timeouts, so that a target that has become slow gets enough
	// time to respond.
	doublings int
}

func newLatencyEstimator(minTimeout time.Duration) *latencyEstimator {
	return &latencyEstimator{minTimeout: minTimeout}
}

func (p *latencyEstimator) observe(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doublings = 0
	if p.mean == 0 {
		p.mean, p.deviation = d, d/2
		return
	}
	off := d - p.mean
	p.mean += off / smoothingDivisor
	p.deviation += (off.Abs() - p.deviation) / smoothingDivisor
}

func (p *latencyEstimator) backOff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doublings = min(p.doublings+1, maxDoublings)
}

func (p *latencyEstimator) responseTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := timeoutFactor * (p.mean + deviationFactor*p.deviation)
	return max(d, p.minTimeout) << p.doublings
}
