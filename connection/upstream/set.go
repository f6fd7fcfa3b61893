package upstream

import (
	"math/rand/v2"
	"sync"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/partition"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// Limits on the number of connections from this VM to one target. The upper limit exceeds the concurrency slots plus
// queue places of every known target. With fewer than the lower limit, a target could not be probed for its load while
// it runs a request.
const (
	maxConnections = 10
	minConnections = 2
)

// maxDeparted bounds the targets whose notices are remembered after the end of their registration.
const maxDeparted = 1024

// Set holds the upstreams of the registered targets; it is safe for concurrent use.
type Set struct {
	clock   clock.Clock
	log     zerolog.Logger
	headers *exchange.Headers
	bodies  *exchange.BodyBudget
	dial    pool.Dial
	// contacts records which services respond to this VM.
	contacts *partition.Detector

	mu sync.Mutex
	// all holds the upstream of each incarnation, because nothing known of one holds for the next.
	all map[roster.Incarnation]*Upstream
	// departed holds the notices of targets that are no longer registered, since a registration that has expired in an
	// outage of the store can come back. departures lists their keys, oldest first.
	departed   map[roster.Incarnation]notices
	departures []roster.Incarnation
}

// NewSet returns an empty set whose upstreams open connections with the given dial function, share the budget b for
// the bodies of their responses, and record in p whether targets respond.
func NewSet(c clock.Clock, l zerolog.Logger, h *exchange.Headers, b *exchange.BodyBudget, d pool.Dial,
	p *partition.Detector,
) *Set {
	return &Set{
		clock: c, log: l, headers: h, bodies: b, dial: d, contacts: p,
		all: map[roster.Incarnation]*Upstream{}, departed: map[roster.Incarnation]notices{},
	}
}

// noticesOf returns what is known of an incarnation from before; the lock must be held.
func (s *Set) noticesOf(k roster.Incarnation) notices {
	if u, ok := s.all[k]; ok {
		return u.currentNotices()
	}
	return s.departed[k]
}

// Get returns the upstream of a target, creating it on first use or when the target's address has changed. This VM
// opens at most connLimit connections to it, within minConnections and maxConnections; zero means maxConnections.
func (s *Set) Get(t roster.Target, connLimit int) *Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := t.Incarnation()
	u, ok := s.all[k]
	if !ok || u.Target.Address != t.Address {
		limit := maxConnections
		if connLimit > 0 {
			limit = min(max(connLimit, minConnections), maxConnections)
		}
		p := exchange.NewPool(t.Address, limit, s.dial, s.clock)
		u = &Upstream{
			Target: t, clock: s.clock, log: s.log, trust: newTrust(), notices: s.noticesOf(k),
			contacts: s.contacts, limitPhase: ident.Share(rand.Float64()),
		}
		u.client = exchange.NewTargetClient(t.ID, t.Address, p, s.clock, s.headers, s.bodies, u.recordNotice)
		s.all[k] = u
	}
	return u
}

// RetainRegistered removes the upstreams of targets that are no longer registered. Their requests in flight run to
// their end.
func (s *Set) RetainRegistered(r *roster.Roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keep := map[roster.Incarnation]bool{}
	for _, t := range r.All() {
		keep[t.Incarnation()] = true
	}
	for k, u := range s.all {
		if !keep[k] {
			u.Close()
			delete(s.all, k)
			s.remember(k, u.currentNotices())
		}
	}
}

// remember keeps the notices of a target that is no longer registered; the lock must be held.
func (s *Set) remember(k roster.Incarnation, n notices) {
	if _, ok := s.departed[k]; !ok && !n.limited && n.accepts(s.clock.Now()) {
		return
	} else if !ok {
		s.departures = append(s.departures, k)
	}
	s.departed[k] = n
	if len(s.departures) > maxDeparted {
		delete(s.departed, s.departures[0])
		s.departures = s.departures[1:]
	}
}

// All returns the upstreams that have been used so far.
func (s *Set) All() []*Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := make([]*Upstream, 0, len(s.all))
	for _, u := range s.all {
		l = append(l, u)
	}
	return l
}
