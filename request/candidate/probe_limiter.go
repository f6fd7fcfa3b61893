package candidate

import (
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

const (
	// probeRateShare is the share of the probe rate allowed by the settings that all VMs together use. With 60 probes a
	// second allowed and 6 ms of a slot per probe, the highest known cost, the probes take a quarter of one slot of a
	// target.
	probeRateShare = 0.75
	// defaultProbeRate is the rate per target, in probes per second, that applies if the settings state no limit. It
	// is a third of the probe rate per target that the users' platform allows.
	defaultProbeRate = 20
	// burstWindow bounds a burst of probes: unused probes accumulate for at most this time.
	burstWindow = 2 * time.Second
	// reprobeDelay is the delay before a service is probed again after no suitable target was found.
	reprobeDelay = 25 * time.Millisecond
)

// probeLimiter limits the probes for one service. It is a token bucket with one token per probe. While the service is
// saturated, it also lets requests probe only in turn, in the order of admission control, so that waiting requests add
// no load to the targets.
type probeLimiter struct {
	mu     sync.Mutex
	tokens float64
	// updatedAt is when tokens were last added.
	updatedAt clock.Instant
	// failed means that the last attempt to choose a target found none that could respond in time, for lack of capacity
	// in most cases.
	failed bool
	// reprobeAt is when the service may be probed again after a failed attempt.
	reprobeAt clock.Instant
	turns     turns
}

// newProbeLimiter returns a limiter with the given number of tokens.
func newProbeLimiter(now clock.Instant, tokens float64) *probeLimiter {
	return &probeLimiter{updatedAt: now, tokens: tokens, turns: newTurns()}
}

// poolID identifies the targets of a service that share a limiter; pool is empty for those of unrestricted requests.
type poolID struct {
	service ident.Service
	pool    string
}

// probeLimiters holds the limiters of all services.
type probeLimiters struct {
	mu     sync.Mutex
	byPool map[poolID]*probeLimiter
}

// get returns the limiter of a pool, which it creates with the given number of tokens if there is none yet.
func (l *probeLimiters) get(p poolID, now clock.Instant, tokens float64) *probeLimiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.byPool[p]
	if !ok {
		n = newProbeLimiter(now, tokens)
		l.byPool[p] = n
	}
	return n
}

// take removes up to n tokens and returns how many it removed. Tokens accumulate at the given rate per second, which is
// this VM's probe rate. A concurrent call may have come first with a later time.
func (l *probeLimiter) take(now clock.Instant, rate float64, n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = max(now, l.updatedAt)
	l.tokens = min(l.tokens+rate*now.Sub(l.updatedAt).Seconds(), max(rate*burstWindow.Seconds(), 1))
	l.updatedAt = now
	n = min(n, int(l.tokens))
	l.tokens -= float64(n)
	return n
}

// markFailed records that no suitable target was found; answered is whether any target answered a probe. An attempt
// without an answer shows nothing of the capacity: targets may be gone, or this VM has no path to them.
func (l *probeLimiter) markFailed(now clock.Instant, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed, l.reprobeAt = true, now.Add(reprobeDelay)
	if answered {
		l.turns.service.Attempt(now, false)
	}
}

// markSucceeded records that a suitable target was found; free is whether it has a free slot. If even the best targets
// have none, the service is short of capacity, whether requests wait here or at the targets.
func (l *probeLimiter) markSucceeded(c clock.Clock, free bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = false
	l.turns.service.Attempt(c.Now(), free)
	l.dispatch(c)
}

// probeDue reports whether targets may be probed without a turn: the last attempt did not fail, or long enough ago.
func (l *probeLimiter) probeDue(now clock.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.failed || l.reprobeAt <= now
}

// lastFailed reports whether the last attempt to choose a target failed.
func (l *probeLimiter) lastFailed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// withholds reports whether a request may be sent to a target only after a probe: the last attempt failed, or the
// service is saturated.
func (l *probeLimiter) withholds(now clock.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed || l.turns.service.Saturated(now)
}

// saturated reports whether the service is saturated.
func (l *probeLimiter) saturated(now clock.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.turns.service.Saturated(now)
}
