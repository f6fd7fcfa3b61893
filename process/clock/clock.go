package clock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time in nanoseconds since boot; instants of different VMs can't be compared.
type Instant int64

// Clock returns the current instant.
type Clock interface {
	Now() Instant
}

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the duration i-o.
func (i Instant) Sub(o Instant) time.Duration {
	return time.Duration(i - o)
}

// Boot is the boot clock of the operating system.
type Boot struct{}

// New returns the boot clock.
func New() Boot {
	return Boot{}
}

// Now reads the boot clock, which also advances while the VM is suspended.
func (Boot) Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only if the clock doesn't exist; without it no lease can be checked.
		panic(err)
	}
	return Instant(t.Nano())
}

// Sleep waits for d and reports true, or reports false if the context ends first.
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

// Fake is a clock for tests that moves only when it is advanced; it is safe for concurrent use.
type Fake struct {
	now atomic.Int64
}

// NewFake returns a fake clock that starts at one hour after boot.
func NewFake() *Fake {
	f := &Fake{}
	f.now.Store(int64(time.Hour))
	return f
}

// Now returns the current instant of the fake clock.
func (f *Fake) Now() Instant {
	return Instant(f.now.Load())
}

// Advance moves the fake clock forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.now.Add(int64(d))
}
