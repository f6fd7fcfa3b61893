package detour

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
	"github.com/amaranthramp/amaranthramp/wire"
)

const (
	// checkInterval is how often a partitioned VM probes a target of each service from which it is partitioned, and asks
	// members what they reach.
	checkInterval = 100 * time.Millisecond
	// askFanout is how many members it asks at a time, at random, so that it finds one of few that reach the targets
	// within a few intervals.
	askFanout = 6
	// refreshFanout is how many members of which it knows that they reach targets it asks again at a time, once their
	// answer is older than refreshAfter.
	refreshFanout = 4
	refreshAfter  = knowledgeTime / 2
	// wantedTime is how long a service is checked after a request to it went through another VM.
	wantedTime = 2 * time.Second
	// connectionTime is how long connections to other members are kept after a partition, which may come again.
	connectionTime = 30 * time.Second
	// maxAsked bounds the services in a message.
	maxAsked = 16
)

// Prober probes targets to find out whether this VM reaches them.
type Prober interface {
	// Recheck probes one target of a service, within the limit on probes.
	Recheck(s route.Service)
}

// Run follows the partitions of this VM until the context ends: it probes targets, so that it notices the end of a
// partition, and asks members which services they reach.
func (r *Router) Run(ctx context.Context, p Prober) {
	var before []ident.Service
	var lastPartition clock.Instant
	for clock.Sleep(ctx, checkInterval) {
		l := r.partitionedServices()
		r.logChanges(before, l)
		r.partitioned.Store(int64(len(l)))
		before = l
		now := r.clock.Now()
		if len(l) == 0 {
			if lastPartition != 0 && now.Sub(lastPartition) >= connectionTime {
				r.client.CloseIdle()
				lastPartition = 0
			}
			continue
		}
		lastPartition = now
		if t := r.catalog.Get().Table; t != nil {
			for _, s := range l {
				p.Recheck(t.Services[s])
			}
		}
		r.ask(l)
	}
}

// PartitionedCount returns the number of services from which this VM is partitioned, as of the last check.
func (r *Router) PartitionedCount() int {
	return int(r.partitioned.Load())
}

// partitionedServices returns the services from which this VM is partitioned, as far as it has had to do with them.
func (r *Router) partitionedServices() []ident.Service {
	l := r.detector.Silent()
	now := r.clock.Now()
	r.mu.Lock()
	for s, at := range r.wanted {
		if now.Sub(at) < wantedTime {
			l = append(l, s)
		} else {
			delete(r.wanted, s)
		}
	}
	r.mu.Unlock()
	slices.Sort(l)
	l = slices.Compact(l)
	return slices.DeleteFunc(l, func(s ident.Service) bool { return !r.Partitioned(s) })
}

// logChanges logs which services this VM no longer reaches, and which it reaches again.
func (r *Router) logChanges(before, now []ident.Service) {
	for _, s := range now {
		if !slices.Contains(before, s) {
			r.log.Warn().Str("Service", string(s)).Msg("no target of the service responds; requests go through other VMs")
		}
	}
	for _, s := range before {
		if !slices.Contains(now, s) {
			r.log.Info().Str("Service", string(s)).Msg("targets of the service respond again, or none is registered")
		}
	}
}

// ask asks members which of the services they reach.
func (r *Router) ask(l []ident.Service) {
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	m := &wire.ReachNews{}
	for _, s := range l[:min(len(l), maxAsked)] {
		m.Ask = append(m.Ask, string(s))
	}
	for _, o := range r.membersToAsk() {
		r.peers.SendReach(o.Address, m)
	}
}

// membersToAsk returns members at random, and some of those that reach targets and whose answers have become old.
func (r *Router) membersToAsk() []roster.Member {
	l := slices.DeleteFunc(r.peers.Others(), func(m roster.Member) bool { return m.ForwardAddress == "" })
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.knowledge.forget(l)
	n := min(askFanout, len(l))
	ask := l[:n:n]
	for _, m := range l[n:] {
		s, ok := r.knowledge[m.Name]
		if ok && s.fresh(now) && len(s.reached) > 0 && now.Sub(s.answeredAt) >= refreshAfter {
			ask = append(ask, m)
		}
		if len(ask) == n+refreshFanout {
			break
		}
	}
	return ask
}

// Handle applies an answer of another member, or answers its question. This VM reaches a service unless it is
// partitioned from it; accepting is whether it takes requests of other VMs at present.
func (r *Router) Handle(m *wire.ReachNews, from ident.Address, accepting bool) {
	if !m.GetAnswer() {
		a := &wire.ReachNews{Answer: true}
		for _, s := range m.GetAsk()[:min(len(m.GetAsk()), maxAsked)] {
			if accepting && r.reaches(ident.Service(s)) {
				a.Reached = append(a.Reached, s)
			}
		}
		r.peers.SendReach(from, a)
		return
	}
	for _, o := range r.peers.Others() {
		if o.Address == from {
			r.recordAnswer(o.Name, m.GetReached())
		}
	}
}

// reaches reports whether the service has targets and this VM is not partitioned from them.
func (r *Router) reaches(s ident.Service) bool {
	return r.targets(s) > 0 && !r.Partitioned(s)
}

func (r *Router) recordAnswer(v ident.VM, reached []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.knowledge.of(v)
	s.answeredAt, s.reached = r.clock.Now(), nil
	for _, n := range reached {
		s.reached = append(s.reached, ident.Service(n))
	}
}
