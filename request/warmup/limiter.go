package warmup

import (
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// Members tells how many VMs may start requests at a cold target that bears the rate, this one included; zero when this
// one may not.
type Members func(t ident.Target, rate float64) int

// Limiter grants starts at cold targets; it is safe for concurrent use.
type Limiter struct {
	clock   clock.Clock
	members Members

	mu   sync.Mutex
	next map[ident.Target]clock.Instant
}

// New returns a limiter that shares each target's rate between the members.
func New(c clock.Clock, m Members) *Limiter {
	return &Limiter{clock: c, members: m, next: map[ident.Target]clock.Instant{}}
}

// Take reserves one start and reports false when this VM must not start one now.
func (l *Limiter) Take(t *roster.Target, s *route.Service) bool {
	n := l.members(t.ID, s.WarmupRate)
	if n == 0 || s.WarmupRate <= 0 {
		return n > 0
	}
	gap := time.Duration(float64(n) / s.WarmupRate * float64(time.Second))
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if now < l.next[t.ID] {
		return false
	}
	l.next[t.ID] = now.Add(gap)
	l.forget(now)
	return true
}

// forget drops targets that are due anyway, so that the map stays as small as the number of cold targets.
func (l *Limiter) forget(now clock.Instant) {
	for id, at := range l.next {
		if at <= now {
			delete(l.next, id)
		}
	}
}
