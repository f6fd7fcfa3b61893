package dispatch

import (
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/target"
)

// maxExcludedShare is the share of a shard's targets that may be left out as suspect.
const maxExcludedShare = 0.5

// selectTarget returns the place for the next request, or nil when it has to wait. The order of preference is a trial that
// is due, a place at pace, one request beyond the slots when all are taken, and at last a slow place.
func (s *scheduler) selectTarget(now clock.Instant, idempotent bool, tried ident.Address) *targetEntry {
	if now < s.blockedUntil {
		return nil
	}
	if p := s.dueTrial(now, idempotent, tried); p != nil {
		return p
	}
	var best, slow, extra *targetEntry
	full := true
	for _, p := range s.targets {
		full = full && p.target.FreeSlots(now) == 0
		switch {
		case p.address == tried:
		case s.freeSlots(now, p) > 0 && !s.isSlow(now, p):
			best = lessLoaded(now, best, p)
		case s.freeSlots(now, p) > 0:
			slow = lessLoaded(now, slow, p)
		case p.target.AllowsExtra(now):
			extra = lessLoaded(now, extra, p)
		}
	}
	switch {
	case best != nil:
		return best
	case full && extra != nil && slow == nil:
		return extra
	case slow != nil && s.fasterThanWaiting(now, slow):
		return slow
	default:
		return nil
	}
}

// dueTrial returns a target that needs a request to show whether it has recovered.
func (s *scheduler) dueTrial(now clock.Instant, idempotent bool, tried ident.Address) *targetEntry {
	for _, p := range s.targets {
		if p.address != tried && p.target.TrialDue(now, idempotent) {
			return p
		}
	}
	return nil
}

// freeSlots is the target's freeSlots, or that of a suspect one when too many are suspect to leave them all out.
func (s *scheduler) freeSlots(now clock.Instant, p *targetEntry) int {
	if p.target.State() == target.Suspect && s.suspectCount() > s.maxExcluded() {
		return p.target.SuspectFreeSlots(now)
	}
	return p.target.FreeSlots(now)
}

func (s *scheduler) suspectCount() int {
	n := 0
	for _, p := range s.targets {
		if p.target.State() == target.Suspect {
			n++
		}
	}
	return n
}

func (s *scheduler) maxExcluded() int {
	n := 0
	for _, p := range s.targets {
		if st := p.target.State(); st != target.Leaving && st != target.Gone {
			n++
		}
	}
	return int(maxExcludedShare * float64(n))
}

func (s *scheduler) isSlow(now clock.Instant, p *targetEntry) bool {
	switch p.target.State() {
	case target.Straggling:
		return !p.target.Recovered(s.othersMedianLatency(p)())
	case target.Suspect:
		return true
	default:
		return p.target.Lagging(now)
	}
}

// fasterThanWaiting reports whether a slow place would answer sooner than the wait for one at pace.
func (s *scheduler) fasterThanWaiting(now clock.Instant, p *targetEntry) bool {
	fast := 0
	for _, q := range s.targets {
		if !s.isSlow(now, q) {
			fast += int(q.target.Limit())
		}
	}
	if fast == 0 {
		return true
	}
	wait := s.serviceTime * time.Duration(s.queue.Len()+1) / time.Duration(fast)
	return p.target.RecentLatency() <= wait+s.serviceTime
}

// lessLoaded returns the place with less in flight, then the one whose last request started longer ago.
func lessLoaded(now clock.Instant, a, b *targetEntry) *targetEntry {
	if a == nil {
		return b
	}
	x, y := a.target.InFlight(now), b.target.InFlight(now)
	if y < x || (y == x && b.lastStart < a.lastStart) {
		return b
	}
	return a
}

// othersMedianLatency returns a function for the median pace of the warm targets but one.
func (s *scheduler) othersMedianLatency(p *targetEntry) func() time.Duration {
	return func() time.Duration {
		var l []time.Duration
		for _, q := range s.targets {
			if q != p && q.target.State() == target.Warm && q.target.RecentLatency() > 0 {
				l = append(l, q.target.RecentLatency())
			}
		}
		if len(l) == 0 {
			return 0
		}
		slices.Sort(l)
		return l[len(l)/2]
	}
}
