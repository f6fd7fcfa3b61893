package detour

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/partition"
	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
	"github.com/amaranthramp/amaranthramp/wire"
)

// network connects the routers of a fleet of which each member but those that reach the targets is partitioned.
type network struct {
	mu      sync.Mutex
	routers map[ident.Address]*Router
	members []roster.Member
	// sent counts the messages.
	sent int
}

// memberPeers is the way of one member to the others.
type memberPeers struct {
	network *network
	self    ident.Address
}

func (p *memberPeers) Others() []roster.Member {
	var l []roster.Member
	for _, m := range p.network.members {
		if m.Address != p.self {
			l = append(l, m)
		}
	}
	return l
}

func (p *memberPeers) SendReach(to ident.Address, m *wire.ReachNews) {
	p.network.mu.Lock()
	p.network.sent++
	r := p.network.routers[to]
	p.network.mu.Unlock()
	r.Handle(m, p.self, true)
}

// newNetwork returns a fleet of the given size of which every stride-th member reaches the targets.
func newNetwork(size, stride int) *network {
	n := &network{routers: map[ident.Address]*Router{}}
	c := clock.New()
	g := catalog.New(c, zerolog.Nop())
	var targets []catalog.Record
	for i := range 8 {
		id := fmt.Sprint("t-", i)
		targets = append(targets, catalog.Record{Name: id, Revision: 1, Entry: catalog.Registration{Target: roster.Target{
			ID: ident.Target(id), Service: "s", DataCentre: "a", Slots: 2,
		}}})
	}
	g.Replace(catalog.Targets, targets, catalog.Position{Revision: 1})
	for i := range size {
		a := ident.Address(fmt.Sprint("m-", i))
		n.members = append(n.members, roster.Member{Name: ident.VM(a), Address: a, ForwardAddress: a})
		d := partition.New()
		for j := range 3 {
			if i%stride != 0 {
				d.Failed("s", ident.Target(fmt.Sprint("t-", j)), c.Now())
			}
		}
		n.routers[a] = New(g, d, &memberPeers{network: n, self: a}, peer.NewClient(exchange.NewBodyBudget(0), c), c,
			zerolog.Nop())
	}
	return n
}

// noProbes probes nothing.
type noProbes struct{}

func (noProbes) Recheck(route.Service) {}

// TestFindsMembersThatReach checks that a partitioned VM of 471 finds members with a path within a second, although
// only one in five has one, with messages whose number does not grow with the fleet.
func TestFindsMembersThatReach(t *testing.T) {
	n := newNetwork(471, 5)
	r := n.routers["m-1"]
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r.Run(ctx, noProbes{})
	for range 50 {
		m, ok := r.Pick("s", nil)
		if !ok || n.routers[m.Address].Partitioned("s") {
			t.Fatalf("picked %s, want a member that reaches the service", m.Name)
		}
	}
	if most := 10 * 2 * (askFanout + refreshFanout); n.sent > most {
		t.Errorf("%d messages in a second, want at most %d", n.sent, most)
	}
}

// TestCalmFleetSendsNothing checks that a VM that reaches the targets sends no messages.
func TestCalmFleetSendsNothing(t *testing.T) {
	n := newNetwork(20, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	n.routers["m-1"].Run(ctx, noProbes{})
	if n.sent > 0 {
		t.Errorf("%d messages, want none", n.sent)
	}
}
