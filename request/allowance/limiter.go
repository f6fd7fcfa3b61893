package allowance

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/team"
	"github.com/amaranthramp/amaranthramp/wire"
)

// Peers is the way to the other members.
type Peers interface {
	// Self returns this member.
	Self() roster.Member
	// SendAllowance sends a message to a member in a datagram, which may get lost.
	SendAllowance(to ident.Address, m *wire.AllowanceMessage)
	// Readers returns the addresses of the other members that read the store.
	Readers() []ident.Address
	// ProvenAt returns an instant as of which no other list of keepers than the one with the given checksum was in force
	// anywhere; zero if this member can't tell.
	ProvenAt(list uint64) clock.Instant
}

// outgoing is a message to another member.
type outgoing struct {
	to      ident.Address
	message *wire.AllowanceMessage
}

// Limiter limits the requests of teams at this VM, and answers the other VMs for the teams that this member keeps. It
// carries the messages of a Keeper and of one Pool per active team. It is safe for concurrent use.
type Limiter struct {
	peers Peers
	clock clock.Clock
	log   zerolog.Logger
	self  roster.Member
	// process is a number at random that tells this process from its predecessors on this VM.
	process uint64

	mu      sync.Mutex
	keeper  *Keeper
	members MemberSet
	claim   claim
	pools   map[ident.Team]*Pool
	waiting map[Waiter]chan Decision
	waiter  Waiter
	// timer calls tick at due; due is zero if no call is needed.
	timer *time.Timer
	due   clock.Instant
	// outbox holds the messages that are sent once mu is released.
	outbox []outgoing
	// retired is the sum of the counts of pools that have been removed.
	retired Stats
}

// New returns a limiter; limit returns the limit of a team in the configuration in force, and false if the team is not
// in it.
func New(p Peers, limit func(ident.Team) (Limit, bool), c clock.Clock, l zerolog.Logger) *Limiter {
	m := p.Self()
	return &Limiter{
		peers: p, clock: c, log: l, self: m, process: rand.Uint64(), keeper: NewKeeper(m.Name, limit),
		pools: map[ident.Team]*Pool{}, waiting: map[Waiter]chan Decision{},
		claim: claim{asks: map[uint64]clock.Instant{}},
	}
}

// SetMembers sets the members. An empty list, which a fleet has until its first member has registered, has no effect.
func (l *Limiter) SetMembers(s MemberSet) {
	s.Registered, s.Keepers = sorted(s.Registered), sorted(s.Keepers)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(s.Keepers) == 0 {
		return
	}
	l.keeper.SetMembers(l.clock.Now(), s)
	same := slices.Equal(s.Keepers, l.members.Keepers)
	l.members = s
	if same {
		return
	}
	l.claim.list = roster.Checksum(s.Keepers)
	for t, p := range l.pools {
		p.SetKeepers(nearestFirst(keepersOf(t, s.Keepers), &l.self))
	}
}

// sorted returns a copy of a list of members in the order of their names.
func sorted(l []roster.Member) []roster.Member {
	l = slices.Clone(l)
	slices.SortFunc(l, func(a, b roster.Member) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

// Take decides whether a request of a team may be sent; late means that the request can't meet its latency objective
// any more, so that requests which can go first. It waits for a token for at most MaxWait. If the context ends
// first, the request gets none.
func (l *Limiter) Take(ctx context.Context, t *team.Team, late bool) Decision {
	if (Limit{Rate: t.Rate}).Unlimited() {
		return Granted{}
	}
	c := make(chan Decision, 1)
	l.mu.Lock()
	l.waiter++
	w := l.waiter
	l.waiting[w] = c
	now := l.clock.Now()
	l.carryOut(now, t.Name, l.pool(t.Name).Request(now, w, late))
	l.unlock()
	select {
	case d := <-c:
		return d
	case <-ctx.Done():
		l.cancel(t.Name, w, c)
		return Unavailable{RetryAfter: unavailableRetryAfter}
	}
}

// Return gives back the token of a request that reached no target.
func (l *Limiter) Return(t ident.Team, g Granted) {
	if g.Expires == 0 {
		return
	}
	l.mu.Lock()
	now := l.clock.Now()
	l.carryOut(now, t, l.pool(t).Return(now, g))
	l.unlock()
}

// Handle applies a message of another member.
func (l *Limiter) Handle(m *wire.AllowanceMessage, from ident.Address) {
	l.mu.Lock()
	defer l.unlock()
	l.receive(l.clock.Now(), m, from)
}

// Exceeding reports whether this VM has refused requests of a team that exceeds its allowance within the last 5 s.
func (l *Limiter) Exceeding(t ident.Team) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.pools[t]
	return ok && p.exceeding
}

// Buckets returns the states of the buckets that are held here, ordered by team.
func (l *Limiter) Buckets() []BucketState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeper.Buckets(l.clock.Now())
}

// Stats returns the sum of the counts of all teams at this VM.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.retired
	for _, p := range l.pools {
		s.add(p.Stats())
	}
	return s
}

// receive applies a message; from is empty if it is from this member.
func (l *Limiter) receive(now clock.Instant, m *wire.AllowanceMessage, from ident.Address) {
	t := ident.Team(m.GetTeam())
	switch b := m.GetBody().(type) {
	case *wire.AllowanceMessage_Ask:
		if !l.keeper.proven(now) {
			l.keeper.Prove(now, l.peers.ProvenAt(l.claim.list))
		}
		r := l.keeper.Answer(now, t, b.Ask)
		if r == nil {
			return
		}
		a := &wire.AllowanceMessage{Team: m.GetTeam(), Body: &wire.AllowanceMessage_Answer{Answer: r}}
		if from == "" {
			l.receive(now, a, from)
			return
		}
		l.outbox = append(l.outbox, outgoing{to: from, message: a})
	case *wire.AllowanceMessage_Answer:
		if p := l.pools[t]; p != nil {
			l.carryOut(now, t, p.Receive(now, b.Answer))
		}
	case *wire.AllowanceMessage_Return:
		l.keeper.Return(now, t, b.Return)
	case *wire.AllowanceMessage_ListAsk:
		l.answerClaim(now, b.ListAsk, from)
	case *wire.AllowanceMessage_ListAnswer:
		l.receiveProof(now, b.ListAnswer)
	}
}

// carryOut carries out the actions of the pool of a team.
func (l *Limiter) carryOut(now clock.Instant, t ident.Team, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			if a.To.Name == l.self.Name {
				l.receive(now, a.Message, "")
			} else {
				l.outbox = append(l.outbox, outgoing{to: a.To.Address, message: a.Message})
			}
		case Decide:
			if c, ok := l.waiting[a.Waiter]; ok {
				c <- a.Decision
				delete(l.waiting, a.Waiter)
			}
		case Note:
			l.note(t, a)
		}
	}
	l.schedule(now, l.pools[t].Next())
}

func (l *Limiter) note(t ident.Team, n Note) {
	if n.Exceeding {
		l.log.Info().Str("Team", string(t)).Msg("team exceeds its allowance; requests are refused with status 429")
		return
	}
	l.log.Info().Str("Team", string(t)).Msg("team no longer exceeds its allowance")
}

// pool returns the pool of a team.
func (l *Limiter) pool(t ident.Team) *Pool {
	p := l.pools[t]
	if p == nil {
		p = NewPool(t, l.process, rand.Float64)
		p.SetKeepers(nearestFirst(keepersOf(t, l.members.Keepers), &l.self))
		l.pools[t] = p
	}
	return p
}

// cancel ends the wait of a request. A token that it has got meanwhile is put back.
func (l *Limiter) cancel(t ident.Team, w Waiter, c <-chan Decision) {
	l.mu.Lock()
	defer l.unlock()
	now := l.clock.Now()
	delete(l.waiting, w)
	select {
	case d := <-c:
		if g, ok := d.(Granted); ok {
			l.carryOut(now, t, l.pool(t).Return(now, g))
		}
	default:
		l.carryOut(now, t, l.pool(t).Cancel(now, w))
	}
}

// schedule has tick called at an instant, unless it is called before; zero means that no call is needed.
func (l *Limiter) schedule(now, at clock.Instant) {
	if at == 0 || l.due != 0 && l.due <= at {
		return
	}
	l.due = at
	d := max(0, at.Sub(now))
	if l.timer == nil {
		l.timer = time.AfterFunc(d, l.tick)
		return
	}
	l.timer.Reset(d)
}

// tick applies the passing of time to the pools that wait for it, and removes those that are idle.
func (l *Limiter) tick() {
	l.mu.Lock()
	defer l.unlock()
	now := l.clock.Now()
	l.due = 0
	for t, p := range l.pools {
		if next := p.Next(); next != 0 && next <= now {
			l.carryOut(now, t, p.Tick(now))
		}
		l.schedule(now, p.Next())
		if p.Idle(now) {
			l.retired.add(p.Stats())
			delete(l.pools, t)
		}
	}
}

// unlock releases mu and sends the messages that were queued under it.
func (l *Limiter) unlock() {
	out := l.outbox
	l.outbox = nil
	l.mu.Unlock()
	for _, o := range out {
		l.peers.SendAllowance(o.to, o.message)
	}
}
