package warmup

import (
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// SenderCount returns how many VMs, including this one, may send requests to a cold target that can serve the given
// rate in requests per second. It returns zero if this VM may not send any.
type SenderCount func(t ident.Target, rate float64) int

// Limiter limits the rate of requests from this VM to each cold target. It is safe for concurrent use.
type Limiter struct {
	clock       clock.Clock
	senderCount SenderCount
	startedAt   clock.Instant

	mu sync.Mutex
	// next is the earliest time at which the next request to a target may be sent.
	next map[ident.Target]clock.Instant
}

// New returns a limiter that divides the warm-up rate of each target equally among the VMs that m counts.
func New(c clock.Clock, m SenderCount) *Limiter {
	return &Limiter{clock: c, senderCount: m, startedAt: c.Now(), next: map[ident.Target]clock.Instant{}}
}

// Take reports whether this VM may send a request to the cold target now and, if so, counts it.
func (l *Limiter) Take(t *roster.Target, s *route.Service) bool {
	n := l.senderCount(t.ID, s.WarmupRate)
	if n == 0 || s.WarmupRate <= 0 {
		return n > 0
	}
	gap := time.Duration(float64(n) / s.WarmupRate * float64(time.Second))
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	// The process that ran before on this VM may have sent a request until this one started.
	if now < max(l.next[t.ID], l.startedAt.Add(gap)) {
		return false
	}
	l.next[t.ID] = now.Add(gap)
	l.removeExpired(now)
	return true
}

// removeExpired deletes the targets that may be sent to again, so that the map never grows beyond the cold targets.
func (l *Limiter) removeExpired(now clock.Instant) {
	for id, at := range l.next {
		if at <= now {
			delete(l.next, id)
		}
	}
}
