package detour

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/partition"
	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

// Peers is the way to the other members.
type Peers interface {
	// Others returns the other members.
	Others() []roster.Member
	// SendReach sends a message to a member in a datagram, which may get lost.
	SendReach(to ident.Address, m *wire.ReachNews)
}

// Router knows from which services this VM is partitioned and which members reach them. It is safe for concurrent use.
type Router struct {
	catalog  *catalog.Catalog
	detector *partition.Detector
	peers    Peers
	client   *peer.Client
	clock    clock.Clock
	log      zerolog.Logger

	// partitioned is the number of services from which this VM is partitioned.
	partitioned atomic.Int64

	mu        sync.Mutex
	knowledge knowledge
	// wanted is when a request to each service last went through another VM.
	wanted map[ident.Service]clock.Instant
	stats  Stats
}

// Stats counts the requests that this VM has sent through others since its start.
type Stats struct {
	// Passed were handled by the other VM, Refused were not passed on by it, and Lost got no answer from it.
	Passed, Refused, Lost uint64
}

// New returns a router that learns from d which services this VM reaches and from p which ones the others reach, and
// sends requests to them with n.
func New(
	g *catalog.Catalog, d *partition.Detector, p Peers, n *peer.Client, c clock.Clock, l zerolog.Logger,
) *Router {
	return &Router{
		catalog: g, detector: d, peers: p, client: n, clock: c, log: l,
		knowledge: knowledge{}, wanted: map[ident.Service]clock.Instant{},
	}
}

// Partitioned reports whether this VM has no path to the targets of a service.
func (r *Router) Partitioned(s ident.Service) bool {
	return r.detector.Partitioned(s, func() int { return r.targets(s) })
}

// targets returns the number of targets of a service that may get requests.
func (r *Router) targets(s ident.Service) int {
	return len(r.catalog.Get().Roster.Available(s))
}

// Pick returns the member through which a request to a service goes next; false if there is none but those in tried.
func (r *Router) Pick(s ident.Service, tried []ident.VM) (roster.Member, bool) {
	l := r.peers.Others()
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanted[s] = now
	return r.knowledge.pick(r.knowledge.candidates(l, s, tried, now), rand.IntN)
}

// Forward has another member send a call to a target of the call's service, and returns the member's answer.
func (r *Router) Forward(ctx context.Context, m *roster.Member, c *call.Call) call.Answer {
	r.addInFlight(m.Name, 1)
	defer r.addInFlight(m.Name, -1)
	a := r.client.Forward(ctx, m.ForwardAddress, c)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, lost := a.Event.(outcome.OwnerUnresponsive)
	switch {
	case NotPassedOn(&a):
		r.stats.Refused++
	case lost:
		r.stats.Lost++
	default:
		r.stats.Passed++
		return a
	}
	r.knowledge.of(m.Name).failedAt[c.Service] = r.clock.Now()
	return a
}

// NotPassedOn reports whether an answer of Forward means that the member was not reached, or did not try to send the
// call to a target because it can't, so that another member may.
func NotPassedOn(a *call.Answer) bool {
	e, ok := a.Event.(outcome.NeverWritten)
	return ok && (e.Reason == outcome.Unreachable || e.Reason == outcome.NoService)
}

// Stats returns the counts since the start of the process.
func (r *Router) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

func (r *Router) addInFlight(v ident.VM, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.knowledge.of(v).inFlight += n
}
