package choice

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/shard"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// How long reports and refusals count.
const (
	// loadDecayTime is the time constant of the exponential decay of a reported load: after this time a report counts for
	// about a third.
	loadDecayTime = 100 * time.Millisecond
	// refusalPeriod is how long a shard whose owner refused a request is ranked last.
	refusalPeriod = 100 * time.Millisecond
)

// Ranker remembers the load that each shard's owner last reported. It is safe for concurrent use.
type Ranker struct {
	clock  clock.Clock
	tables shard.TableCache

	mu      sync.Mutex
	reports map[ident.Shard]report
}

// report is what the last answers of a shard's owner said.
type report struct {
	load float64
	at   clock.Instant
	// refusedAt is when the owner last refused a request, or zero.
	refusedAt clock.Instant
}

// New returns a ranker without reports.
func New(c clock.Clock) *Ranker {
	return &Ranker{clock: c, reports: map[ident.Shard]report{}}
}

// Record records the load or the refusal that an answer of a shard's owner carried.
func (b *Ranker) Record(id ident.Shard, a *call.Answer, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.reports[id]
	if isRefusal(a) {
		r.refusedAt = now
	} else {
		r = report{load: a.Load, at: now}
	}
	b.reports[id] = r
}

// isRefusal reports whether the answer means that the shard takes no requests at present.
func isRefusal(a *call.Answer) bool {
	switch a.Reason {
	case outcome.Overload, outcome.NoLease, outcome.NotOwner, outcome.NoTarget, outcome.Unreachable, outcome.OwnerGone:
		return true
	default:
		return false
	}
}

// Rank returns the shards in data centres that take new work, in the order in which to try them: first the less
// loaded of two shards drawn at random, weighted by their numbers of targets, then the others in random order. Shards
// that refused lately come last.
func (b *Ranker) Rank(v *view.View, s *config.Service) []shard.Shard {
	g, ok := b.tables.For(v).Service(s.Name)
	if !ok {
		return nil
	}
	var active []shard.Shard
	for _, h := range g.Shards {
		if v.Config.DataCentreState(h.DataCentre) == config.In {
			active = append(active, h)
		}
	}
	weightedShuffle(active)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	slices.SortStableFunc(active, func(x, y shard.Shard) int {
		return cmp.Compare(b.refusalRank(x.ID, now), b.refusalRank(y.ID, now))
	})
	if len(active) > 1 && b.refusalRank(active[0].ID, now) == b.refusalRank(active[1].ID, now) &&
		b.prefers(&active[1], &active[0], now) {
		active[0], active[1] = active[1], active[0]
	}
	return active
}

// weightedShuffle draws the shards one by one, each with a probability proportional to its number of targets.
func weightedShuffle(l []shard.Shard) {
	for i := range l {
		n := 0
		for _, h := range l[i:] {
			n += len(h.Upstreams)
		}
		k := rand.IntN(max(n, 1))
		for j := i; j < len(l); j++ {
			k -= len(l[j].Upstreams)
			if k < 0 {
				l[i], l[j] = l[j], l[i]
				break
			}
		}
	}
}

// refusalRank returns 1 for a shard that refused within the refusal period, else 0.
func (b *Ranker) refusalRank(id ident.Shard, now clock.Instant) int {
	if t := b.reports[id].refusedAt; t > 0 && now.Sub(t) < refusalPeriod {
		return 1
	}
	return 0
}

// prefers reports whether x is less loaded than y or, at equal load, has more targets.
func (b *Ranker) prefers(x, y *shard.Shard, now clock.Instant) bool {
	p, q := b.decayedLoad(x.ID, now), b.decayedLoad(y.ID, now)
	if p != q {
		return p < q
	}
	return len(x.Upstreams) > len(y.Upstreams)
}

// decayedLoad returns the last reported load, decayed by its age.
func (b *Ranker) decayedLoad(id ident.Shard, now clock.Instant) float64 {
	r, ok := b.reports[id]
	if !ok {
		return 0
	}
	return r.load * math.Exp(-float64(now.Sub(r.at))/float64(loadDecayTime))
}
