package allowance

import (
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// refuseAll refuses the waiting requests, except those that can still ask a keeper that will have tokens in time.
func (p *Pool) refuseAll(now clock.Instant) {
	soonest, ok := p.soonestEmpty()
	left := p.maxWaiters(now)
	p.waiters = slices.DeleteFunc(p.waiters, func(w waiter) bool {
		left--
		if ok && left >= 0 && soonest <= w.deadline.Add(-askTimeout) {
			return false
		}
		p.refuse(now, &w)
		return true
	})
}

// refuseOverdue refuses the requests that have waited for MaxWait.
func (p *Pool) refuseOverdue(now clock.Instant) {
	for len(p.waiters) > 0 && p.waiters[0].deadline <= now {
		p.refuse(now, &p.waiters[0])
		p.waiters = slices.Delete(p.waiters, 0, 1)
	}
}

// refuse refuses a request: with Exceeded if a keeper has lately answered that it has no tokens.
func (p *Pool) refuse(now clock.Instant, w *waiter) {
	if slices.ContainsFunc(p.keepers, func(k knownKeeper) bool { return k.silence != 0 }) {
		p.shortAt = now
	}
	soonest, ok := p.soonestEmpty()
	if !p.lately(now) && (!ok || soonest <= now) {
		p.stats.Unavailable++
		p.decide(w.id, Unavailable{RetryAfter: p.spread(unavailableRetryAfter)})
		return
	}
	p.stats.Exceeded++
	if !w.asked {
		p.refused++
	}
	p.lastRefusal = now
	if !p.exceeding {
		p.exceeding = true
		p.actions = append(p.actions, Note{Exceeding: true})
	}
	p.retryAt = min(max(p.retryAt, now.Add(minRetryAfter)).Add(p.retryStep), now.Add(maxRetryAfter))
	p.decide(w.id, Exceeded{RetryAfter: p.spread(p.retryAt.Sub(now))})
}

// spread lengthens a retry delay at random.
func (p *Pool) spread(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*retrySpread*p.random())
}

// soonestEmpty returns the earliest time at which a keeper that answers will have tokens again; false if none answered
// that it has no tokens.
func (p *Pool) soonestEmpty() (clock.Instant, bool) {
	soonest := clock.Instant(0)
	for i := range p.keepers {
		k := &p.keepers[i]
		if k.emptyUntil > k.silentUntil && (soonest == 0 || k.emptyUntil < soonest) {
			soonest = k.emptyUntil
		}
	}
	return soonest, soonest != 0
}
