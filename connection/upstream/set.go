package upstream

import (
	"sync"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// The bounds on the connections of this VM to one target. The upper one is above the slots and places in the queue of
// any target that is known; below the lower one a target could not be asked for its load while it runs a request.
const (
	maxConnections = 10
	minConnections = 2
)

// key tells incarnations apart; one that starts again under its id knows nothing of before.
type key struct {
	id   ident.Target
	born int64
}

// Set is the upstreams of the targets that are registered; it is safe for concurrent use.
type Set struct {
	clock   clock.Clock
	log     zerolog.Logger
	headers *exchange.Headers
	dial    pool.Dial

	mu  sync.Mutex
	all map[key]*Upstream
}

// NewSet returns an empty set whose connections are opened by dial.
func NewSet(c clock.Clock, l zerolog.Logger, h *exchange.Headers, d pool.Dial) *Set {
	return &Set{clock: c, log: l, headers: h, dial: d, all: map[key]*Upstream{}}
}

// Of returns the upstream of a target, to which this VM may open the given number of connections; zero is no bound.
func (s *Set) Of(t roster.Target, connections int) *Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{id: t.ID, born: t.Born}
	u, ok := s.all[k]
	if !ok || u.Target.Address != t.Address {
		limit := maxConnections
		if connections > 0 {
			limit = min(max(connections, minConnections), maxConnections)
		}
		p := exchange.NewPool(t.Address, limit, s.dial, s.clock)
		u = &Upstream{
			Target: t, clock: s.clock, log: s.log, trust: newTrust(),
			direct: exchange.NewDirect(t.ID, t.Address, p, s.clock, s.headers),
		}
		s.all[k] = u
	}
	return u
}

// Follow drops the upstreams of targets that are no longer registered; requests in flight there go on.
func (s *Set) Follow(r *roster.Roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keep := map[key]bool{}
	for _, t := range r.All() {
		keep[key{id: t.ID, born: t.Born}] = true
	}
	for k, u := range s.all {
		if !keep[k] {
			u.Close()
			delete(s.all, k)
		}
	}
}

// All returns the upstreams that were used so far.
func (s *Set) All() []*Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := make([]*Upstream, 0, len(s.all))
	for _, u := range s.all {
		l = append(l, u)
	}
	return l
}
