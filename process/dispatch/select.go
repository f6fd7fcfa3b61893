package dispatch

import (
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/target"
)

// maxExcludedShare is the share of a shard's targets that may be excluded as suspect.
const maxExcludedShare = 0.5

// selectTarget returns the target for the next request, or nil when the request has to wait. The order of preference is
// a target with a trial due, a free slot at a target that isn't slow, one request beyond the slots when all slots are
// taken, and last a free slot at a slow target.
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
		case p.target.AllowsRequestBeyondSlots(now):
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

// dueTrial returns a target that needs a request to show whether it has recovered, or nil.
func (s *scheduler) dueTrial(now clock.Instant, idempotent bool, tried ident.Address) *targetEntry {
	for _, p := range s.targets {
		if p.address != tried && p.target.TrialDue(now, idempotent) {
			return p
		}
	}
	return nil
}

// freeSlots returns the target's free slots. A suspect target has some when too many targets are suspect to exclude
// them all.
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

// fasterThanWaiting reports whether a slow target would answer no later than one that isn't slow, including the wait
// for that one.
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

// lessLoaded returns the target with fewer requests in flight, or on a tie the one whose last request started earlier.
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

// othersMedianLatency returns a function that computes the median recent latency of the warm targets other than p, or
// zero when there is none.
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
