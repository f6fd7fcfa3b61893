package target

import (
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Snapshot is what one owner passes on to the next about a target.
type Snapshot struct {
	State    State
	Limit    ident.Slots
	InFlight int
	// RecentLatency is the moving average of the latency of answers, and BaselineLatency the long-term one while warm.
	RecentLatency   time.Duration
	BaselineLatency time.Duration
	Incarnation     string
}

// Snapshot returns the current state for a handover or a dump.
func (t *Target) Snapshot(now clock.Instant) Snapshot {
	return Snapshot{
		State: t.state, Limit: t.Limit(), InFlight: t.InFlight(now),
		RecentLatency: t.latency.recent, BaselineLatency: t.latency.baseline, Incarnation: t.incarnation,
	}
}

// ApplySnapshot takes over a former owner's state and latencies of the target. It does so once, and only while this
// owner has no evidence of its own.
func (t *Target) ApplySnapshot(s Snapshot) {
	if t.hasEvidence || t.state != Cold {
		return
	}
	t.hasEvidence = true
	t.latency.recent, t.latency.baseline, t.incarnation = s.RecentLatency, s.BaselineLatency, s.Incarnation
	switch s.State {
	case Warm:
		t.limit = t.limits.Slots
		t.fire(eventFill)
	case Warming:
		t.limit = max(min(s.Limit, t.limits.Slots-1), t.coldLimit())
		t.fire(eventGrow)
	default:
	}
}

// SetInherited counts n requests of former owners as in flight until latestEnd, by which all of them must have ended.
func (t *Target) SetInherited(n int, latestEnd clock.Instant) {
	t.inheritedRequests = inheritedRequests{count: n, latestEnd: latestEnd}
}
