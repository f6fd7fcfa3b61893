package probe

import (
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Rate is the probe rate that the configuration allows for one target.
type Rate struct {
	// Cost is the slot time that one probe uses; zero means that probes are not allowed.
	Cost time.Duration
	// Share is the fraction of the target's slot time that probes may use.
	Share ident.Share
	// Slots is the number of requests that the target may handle at a time.
	Slots ident.Slots
}

// Budget is a token bucket, counted in slot time, that limits the probes of one target. It is not safe for concurrent
// use.
type Budget struct {
	createdAt clock.Instant
	updatedAt clock.Instant
	available time.Duration
	used      time.Duration
}

// NewBudget returns an empty budget.
func NewBudget(now clock.Instant) *Budget {
	return &Budget{createdAt: now, updatedAt: now}
}

// TryTake deducts the cost of one probe, or reports false if the budget doesn't cover it yet. The budget never
// accumulates more than the cost of one probe.
func (b *Budget) TryTake(now clock.Instant, r Rate) bool {
	b.available = min(b.available+r.allowedSlotTime(now.Sub(b.updatedAt)), r.Cost)
	b.updatedAt = now
	if r.Cost <= 0 || b.available < r.Cost {
		return false
	}
	b.available -= r.Cost
	b.used += r.Cost
	return true
}

// Used returns the slot time that probes have used so far.
func (b *Budget) Used() time.Duration {
	return b.used
}

// Allowed returns the slot time that the rate has allowed probes to use since the budget was created.
func (b *Budget) Allowed(now clock.Instant, r Rate) time.Duration {
	if r.Cost <= 0 {
		return 0
	}
	return r.allowedSlotTime(now.Sub(b.createdAt))
}

// allowedSlotTime returns the slot time that probes may use within a duration: the share of the slot time of all slots.
func (r Rate) allowedSlotTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * float64(r.Share) * float64(r.Slots))
}
