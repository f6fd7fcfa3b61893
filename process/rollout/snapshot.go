package rollout

import (
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Snapshot is a copy of a state for the dump and the metrics.
type Snapshot struct {
	Version ident.TargetVersion
	Order   OrderID
	State   Progress
	Phase   Phase
	// Use is what a request would get now.
	Use Use
	// Stopped is the reason why the new version is not used any more; empty if it is.
	Stopped string
	Closed  bool
	// SentOld and SentNew are the requests sent since the order was learned of, and BadNew the bad responses of the new
	// version among them.
	SentOld, SentNew, BadNew uint64
	InFlightOld              int
	// SinceAcknowledgement is the time since the last acknowledgement that allowed the use of the new version.
	SinceAcknowledgement time.Duration
}

// Snapshot returns the state for the dump and the metrics.
func (s *State) Snapshot(now clock.Instant) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.order
	if p == nil {
		return Snapshot{}
	}
	t := p.evidence.fresh()
	return Snapshot{
		Version: p.order.Version, Order: p.order.ID, State: p.status.State, Phase: p.status.Phase, Use: s.mode(now),
		Stopped: p.stopped, Closed: p.closed, SentOld: p.sentOld, SentNew: p.sentNew,
		BadNew: uint64(t.Failures + t.Slow), InFlightOld: s.inFlightOld(),
		SinceAcknowledgement: now.Sub(p.acknowledgedAt),
	}
}
