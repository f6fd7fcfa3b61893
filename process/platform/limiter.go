package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// ErrNotSent means that a call was not sent and therefore can't have taken effect.
var ErrNotSent = errors.New("platform: call not sent")

const (
	// CallsPerSecond is the sustained rate of calls of one process; a watch counts as one call.
	CallsPerSecond = 10
	// CallBurst is how many calls a process may make at once: enough for a new VM to read all groups of the
	// configuration.
	CallBurst = 400
	// minBackoff and maxBackoff bound the mean backoff after failed calls.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Limiter limits the rate of calls of one process and backs off while calls fail; it is safe for concurrent use.
type Limiter struct {
	clock clock.Clock

	mu sync.Mutex
	// burstFullAt is when the whole burst is available again.
	burstFullAt clock.Instant
	// backoff is the mean of the last backoff; it is zero after a call that succeeded.
	backoff time.Duration
	// backoffUntil is when the last backoff ends.
	backoffUntil clock.Instant
	calls        Calls
}

// Calls counts the calls of one process to the platform. Held counts those that had to wait for the limiter.
type Calls struct {
	Reads, Writes, Watches, Failed, Held uint64
}

// NewLimiter returns a limiter with the whole burst available.
func NewLimiter(c clock.Clock) *Limiter {
	return &Limiter{clock: c}
}

// Calls returns the counts so far.
func (l *Limiter) Calls() Calls {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// reserve reserves one call and returns how long to wait before sending it, because of the rate or of a backoff.
func (l *Limiter) reserve(now clock.Instant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.burstFullAt = max(l.burstFullAt, now).Add(time.Second / CallsPerSecond)
	return max(0, l.backoffUntil.Sub(now), l.burstFullAt.Sub(now)-CallBurst*time.Second/CallsPerSecond)
}

// recordOutcome records whether a call failed: each failure in a row doubles the mean backoff, a success resets it.
func (l *Limiter) recordOutcome(now clock.Instant, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !failed {
		l.backoff = 0
		return
	}
	l.calls.Failed++
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	l.backoffUntil = now.Add(l.backoff/2 + rand.N(l.backoff))
}

func (l *Limiter) updateCalls(f func(*Calls)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.calls)
}

// wait blocks until the next call may be sent. It fails with ErrNotSent if that would be after the context's
// deadline, or if the context ends first.
func (l *Limiter) wait(ctx context.Context) error {
	d := l.reserve(l.clock.Now())
	if d == 0 {
		return nil
	}
	l.updateCalls(func(n *Calls) { n.Held++ })
	if end, ok := ctx.Deadline(); ok && time.Until(end) < d {
		return fmt.Errorf("%w: not before %s", ErrNotSent, d.Round(time.Millisecond))
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
}
