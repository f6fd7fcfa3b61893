package exchange

import (
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Limits on trial requests to an unresponsive address.
const (
	// minUnresponsiveTime is the least time without any response after which the address counts as unresponsive.
	minUnresponsiveTime = 100 * time.Millisecond
	// trialInterval is how long after the last trial a request that must not run twice is refused, so that idempotent
	// requests become the trials.
	trialInterval = time.Second
)

// breaker is a circuit breaker for one address. It opens when a request timed out and the address has responded to
// nothing since that request was sent. While it is open it admits one trial request at a time, and a response closes
// it. It is safe for concurrent use.
type breaker struct {
	mu             sync.Mutex
	lastResponseAt clock.Instant
	open           bool
	trialInFlight  bool
	lastTrialAt    clock.Instant
	// openerSentAt is the send time of the request that opened the breaker.
	openerSentAt clock.Instant
}

// admit reports whether a request may be sent, and whether it is the trial of an open breaker.
func (b *breaker) admit(now clock.Instant, idempotent bool) (ok, trial bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true, false
	}
	if b.trialInFlight || !idempotent && now.Sub(b.lastTrialAt) < trialInterval {
		return false, false
	}
	b.trialInFlight = true
	b.lastTrialAt = now
	return true, true
}

// endTrial is called when an admitted request has ended; if that was the trial, the next one may start.
func (b *breaker) endTrial(trial bool) {
	if !trial {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trialInFlight = false
}

func (b *breaker) recordResponse(now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastResponseAt = now
	b.open = false
}

// recordTimeout records that the request sent at the given time has timed out, and opens the breaker if the address has
// responded to nothing since then and at least minUnresponsiveTime has passed. It reports false only if another request
// had already opened the breaker.
func (b *breaker) recordTimeout(sent, now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lastResponseAt >= sent || now.Sub(sent) < minUnresponsiveTime {
		return true
	}
	if b.open {
		return b.openerSentAt == sent
	}
	b.open = true
	b.openerSentAt = sent
	b.lastTrialAt = now
	return true
}

// respondedSince reports whether the address has responded to any request at time t or later.
func (b *breaker) respondedSince(t clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastResponseAt >= t
}
