package allowance

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/team"
	"github.com/amaranthramp/amaranthramp/wire"
)

// network connects limiters; it loses all messages while cut is set.
type network struct {
	mu       sync.Mutex
	limiters map[ident.Address]*Limiter
	clock    clock.Clock
	cut      atomic.Bool
	messages atomic.Int64
}

// port is the place of one member in a network.
type port struct {
	network *network
	self    roster.Member
}

func (p *port) Self() roster.Member { return p.self }

func (p *port) Readers() []ident.Address { return nil }

func (p *port) ProvenAt(uint64) clock.Instant { return p.network.clock.Now() }

func (p *port) SendAllowance(to ident.Address, m *wire.AllowanceMessage) {
	n := p.network
	n.messages.Add(1)
	if n.cut.Load() {
		return
	}
	n.mu.Lock()
	l := n.limiters[to]
	n.mu.Unlock()
	go l.Handle(m, p.self.Address)
}

// newFleet returns six limiters of which the first is not a keeper of the team.
func newFleet(t *testing.T, m *team.Team, c clock.Clock) (*network, []*Limiter) {
	t.Helper()
	var members []roster.Member
	for i := range 6 {
		a := fmt.Sprint("m", i)
		members = append(members, roster.Member{Name: ident.VM(a), Address: ident.Address(a)})
	}
	keepers := map[ident.VM]bool{}
	for _, k := range keepersOf(m.Name, members) {
		keepers[k.Name] = true
	}
	n := &network{limiters: map[ident.Address]*Limiter{}, clock: c}
	limit := func(ident.Team) (Limit, bool) { return Limit{Rate: m.Rate, Burst: m.Burst}, true }
	var l []*Limiter
	for _, o := range members {
		x := New(&port{network: n, self: o}, limit, c, zerolog.Nop())
		n.limiters[o.Address] = x
		x.SetMembers(MemberSet{Registered: members, Keepers: members})
		x.renewClaim()
		go x.Run(t.Context())
		if !keepers[o.Name] {
			l = append([]*Limiter{x}, l...)
		} else {
			l = append(l, x)
		}
	}
	return n, l
}

// TestLimiter checks what a request gets at a VM that is no keeper: a token, an answer in time if no keeper can be
// reached, and a token again afterwards. A timer that is not set would leave the request waiting for ever.
func TestLimiter(t *testing.T) {
	m := &team.Team{Name: "t", Rate: 100, Burst: 20}
	n, l := newFleet(t, m, clock.New())
	time.Sleep(100 * time.Millisecond)
	take := func() (Decision, time.Duration) {
		began := time.Now()
		d := l[0].Take(context.Background(), m, false)
		return d, time.Since(began)
	}
	if d, _ := take(); d == nil || d.(Granted).Expires == 0 {
		t.Fatalf("got %+v, want a token", d)
	}
	n.cut.Store(true)
	d, took := take()
	if u, ok := d.(Unavailable); !ok || u.RetryAfter <= 0 || took > MaxWait+time.Second {
		t.Errorf("without a keeper: %T %+v after %s, want Unavailable with a time", d, d, took)
	}
	n.cut.Store(false)
	for range 200 {
		if d, _ = take(); d != nil {
			if _, ok := d.(Granted); ok {
				break
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	if _, ok := d.(Granted); !ok {
		t.Errorf("got %+v after the keepers were back, want a token", d)
	}
	if d := l[0].Take(context.Background(), &team.Team{Name: "u"}, false); d != (Granted{}) {
		t.Errorf("team without a limit got %+v, want no token and no refusal", d)
	}
}

// TestReturnedToken checks that the token of a request that did not run, and that of one whose caller has gone, serve
// the next request without an ask.
func TestReturnedToken(t *testing.T) {
	m := &team.Team{Name: "t", Rate: 100, Burst: 20}
	// With a clock that stands still the token does not expire on a busy machine.
	c := clock.NewFake()
	n, l := newFleet(t, m, c)
	c.Advance(100 * time.Millisecond)
	g, ok := l[0].Take(context.Background(), m, false).(Granted)
	if !ok {
		t.Fatal("got no token")
	}
	before := n.messages.Load()
	l[0].Return(m.Name, g)
	if d := l[0].Take(context.Background(), m, false); d != g {
		t.Errorf("got %+v, want the returned token %+v", d, g)
	}
	if k := n.messages.Load() - before; k != 0 {
		t.Errorf("%d messages, want none", k)
	}
	n.cut.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l[0].Take(ctx, m, false)
	l[0].mu.Lock()
	defer l[0].mu.Unlock()
	if k := len(l[0].waiting) + len(l[0].pools[m.Name].waiters); k != 0 {
		t.Errorf("%d requests of callers that are gone still wait, want none", k)
	}
}
