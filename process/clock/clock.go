package clock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is nanoseconds since the machine booted; instants of different machines can't be compared.
type Instant int64

// Clock tells the current instant.
type Clock interface {
	Now() Instant
}

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the duration since o.
func (i Instant) Sub(o Instant) time.Duration {
	return time.Duration(i - o)
}

// Boot is the machine's boot clock.
type Boot struct{}

// New returns the machine's boot clock.
func New() Boot {
	return Boot{}
}

// Now reads the boot clock; it also advances while the machine is suspended.
func (Boot) Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only for an unknown clock, which would make every lease check meaningless.
		panic(err)
	}
	return Instant(t.Nano())
}

// Sleep waits and reports false when the context ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Fake is a clock that tests set by hand; it is safe for concurrent use.
type Fake struct {
	now atomic.Int64
}

// NewFake returns a fake clock that starts at one hour after boot.
func NewFake() *Fake {
	f := &Fake{}
	f.now.Store(int64(time.Hour))
	return f
}

// Now returns the instant that the test set.
func (f *Fake) Now() Instant {
	return Instant(f.now.Load())
}

// Advance moves the fake clock on by d.
func (f *Fake) Advance(d time.Duration) {
	f.now.Add(int64(d))
}
