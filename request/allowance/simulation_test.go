package allowance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

// The bound that operators set: quota-window-s, quota-overshoot and quota-slack.
const (
	boundWindow    = 5 * time.Second
	boundOvershoot = 0.1
	boundSlack     = 20
)

func boundOf(l Limit) int {
	return int((float64(l.Rate)*boundWindow.Seconds()+l.Burst)*(1+boundOvershoot) + boundSlack)
}

type event struct {
	at  clock.Instant
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	o := *q
	e := o[len(o)-1]
	*q = o[:len(o)-1]
	return e
}

// simVM is a VM of the simulation. Its clock has an offset from that of the simulation.
type simVM struct {
	member      roster.Member
	process     uint64
	offset      clock.Instant
	alive       bool
	frozenUntil clock.Instant
	side        int
	limits      map[ident.Team]Limit
	members     []roster.Member
	// version is that of members; returning means that the VM was absent.
	version   int
	returning bool
	keeper    *Keeper
	pools     map[ident.Team]*Pool
	ticks     map[ident.Team]clock.Instant
}

// simRequest is a caller's request; returns counts how often its caller has come back.
type simRequest struct {
	team    ident.Team
	at      clock.Instant
	returns int
}

// tally is what happened to the requests of one team.
type tally struct {
	first, granted, exceeded, unavailable int
	returned, returnedGranted             int
	waits                                 []time.Duration
	uses                                  []clock.Instant
}

// simulation is a fleet in simulated time, with datagrams that are delayed by 1 to 10 ms, lost and duplicated.
type simulation struct {
	rng       *rand.Rand
	now       clock.Instant
	queue     eventQueue
	seq       int
	vms       []*simVM
	loss, dup float64
	// maxReturns is how often a caller honours Retry-After, if it is at most patience.
	maxReturns int
	patience   time.Duration
	pending    map[Waiter]simRequest
	waiter     Waiter
	tallies    map[ident.Team]*tally
	datagrams  int
	retired    Stats
	// lists are the lists of keepers that have been in force, with the instants since which they were; only if
	// replacesKeepers is set does another follow the first. proofs draws the times of proofs.
	lists           []simList
	replacesKeepers bool
	proofs          *rand.Rand
	// began is when the demand began.
	began clock.Instant
}

func newSimulation(seed uint64, vms int, limits map[ident.Team]Limit) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: clock.Instant(time.Hour), loss: 0.01, dup: 0.01, maxReturns: 2,
		patience: 3 * time.Second, pending: map[Waiter]simRequest{}, tallies: map[ident.Team]*tally{},
	}
	var l []roster.Member
	for i := range vms {
		l = append(l, roster.Member{
			Name: ident.VM(fmt.Sprintf("vm-%03d", i)), DataCentre: ident.DataCentre(fmt.Sprint("dc-", i%4)),
		})
	}
	s.lists, s.proofs = []simList{{members: l}}, rand.New(rand.NewPCG(seed, 2))
	for i := range l {
		v := &simVM{member: l[i], limits: limits, members: l, offset: clock.Instant(s.rng.Int64N(int64(time.Hour)))}
		s.vms = append(s.vms, v)
		s.start(v)
	}
	return s
}

// start starts a process on a VM, without the state of its predecessor.
func (s *simulation) start(v *simVM) {
	for _, p := range v.pools {
		s.retired.add(p.Stats())
	}
	v.process, v.alive = s.rng.Uint64(), true
	v.pools, v.ticks = map[ident.Team]*Pool{}, map[ident.Team]clock.Instant{}
	v.keeper = NewKeeper(v.member.Name, func(t ident.Team) (Limit, bool) {
		l, ok := v.limits[t]
		return l, ok
	})
	s.setMembers(v, v.members)
	s.on(v, time.Duration(50+s.proofs.IntN(300))*time.Millisecond, func() { s.prove(v) })
}

func (s *simulation) setMembers(v *simVM, l []roster.Member) {
	v.members = l
	registered := l
	if s.replacesKeepers {
		registered = s.lists[0].members
	}
	v.keeper.SetMembers(s.now+v.offset, MemberSet{Registered: registered, Keepers: l, Returning: v.returning})
	for t, p := range v.pools {
		p.SetKeepers(nearestFirst(keepersOf(t, l), &v.member))
	}
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, do: do})
}

// on runs do on the process that now runs on a VM after a time: later if the VM is frozen, never if the process ended.
func (s *simulation) on(v *simVM, d time.Duration, do func()) {
	process := v.process
	s.after(d, func() {
		switch {
		case !v.alive || v.process != process:
		case s.now < v.frozenUntil:
			s.on(v, v.frozenUntil.Sub(s.now), do)
		default:
			do()
		}
	})
}

func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

func (s *simulation) pool(v *simVM, t ident.Team) *Pool {
	p := v.pools[t]
	if p == nil {
		p = NewPool(t, v.process, s.rng.Float64)
		p.SetKeepers(nearestFirst(keepersOf(t, v.members), &v.member))
		v.pools[t] = p
	}
	return p
}

// carryOut carries out the actions of a pool.
func (s *simulation) carryOut(v *simVM, t ident.Team, l []Action) {
	for _, a := range l {
		switch a := a.(type) {
		case Send:
			s.send(v, s.vm(a.To.Name), a.Message)
		case Decide:
			s.decide(a)
		}
	}
	next := v.pools[t].Next()
	if next == 0 || v.ticks[t] != 0 && v.ticks[t] <= next {
		return
	}
	v.ticks[t] = next
	s.on(v, max(0, (next-v.offset).Sub(s.now)), func() {
		if v.ticks[t] == next {
			v.ticks[t] = 0
			s.carryOut(v, t, v.pools[t].Tick(s.now+v.offset))
		}
	})
}

func (s *simulation) vm(n ident.VM) *simVM {
	return s.vms[slices.IndexFunc(s.vms, func(v *simVM) bool { return v.member.Name == n })]
}

// send delivers a message: at once within a VM, else in a datagram.
func (s *simulation) send(from, to *simVM, m *wire.AllowanceMessage) {
	if from == to {
		s.receive(from, to, m)
		return
	}
	s.datagrams++
	copies := 1
	switch x := s.rng.Float64(); {
	case x < s.loss || from.side != to.side:
		copies = 0
	case x < s.loss+s.dup:
		copies = 2
	}
	for range copies {
		// A datagram reaches whatever process runs on the VM when it arrives.
		s.after(time.Millisecond+time.Duration(s.rng.Int64N(int64(9*time.Millisecond))), func() {
			s.on(to, 0, func() { s.receive(from, to, m) })
		})
	}
}

func (s *simulation) receive(from, to *simVM, m *wire.AllowanceMessage) {
	t, now := ident.Team(m.GetTeam()), s.now+to.offset
	switch b := m.GetBody().(type) {
	case *wire.AllowanceMessage_Ask:
		if r := to.keeper.Answer(now, t, b.Ask); r != nil {
			s.send(to, from, &wire.AllowanceMessage{Team: m.GetTeam(), Body: &wire.AllowanceMessage_Answer{Answer: r}})
		}
	case *wire.AllowanceMessage_Answer:
		if p := to.pools[t]; p != nil {
			s.carryOut(to, t, p.Receive(now, b.Answer))
		}
	case *wire.AllowanceMessage_Return:
		to.keeper.Return(now, t, b.Return)
	}
}

// request sends a request of a caller to a VM.
func (s *simulation) request(v *simVM, r simRequest) {
	y := s.tally(r.team)
	if r.returns == 0 {
		y.first++
	} else {
		y.returned++
	}
	s.on(v, 0, func() {
		s.waiter++
		r.at = s.now
		s.pending[s.waiter] = r
		s.carryOut(v, r.team, s.pool(v, r.team).Request(s.now+v.offset, s.waiter, false))
	})
}

func (s *simulation) decide(d Decide) {
	r := s.pending[d.Waiter]
	delete(s.pending, d.Waiter)
	y := s.tally(r.team)
	y.waits = append(y.waits, s.now.Sub(r.at))
	after := time.Duration(0)
	switch d := d.Decision.(type) {
	case Granted:
		y.granted++
		y.uses = append(y.uses, s.now)
		if r.returns > 0 {
			y.returnedGranted++
		}
	case Exceeded:
		y.exceeded++
		after = d.RetryAfter
	case Unavailable:
		y.unavailable++
		after = d.RetryAfter
	}
	if after > 0 && after <= s.patience && r.returns < s.maxReturns {
		r.returns++
		s.after(after, func() { s.request(s.anyVM(), r) })
	}
}

// livingKeepers returns how many keepers of a team run.
func (s *simulation) livingKeepers(t ident.Team) int {
	n := 0
	for _, m := range keepersOf(t, s.vms[0].members) {
		if s.vm(m.Name).alive {
			n++
		}
	}
	return n
}

func (s *simulation) tally(t ident.Team) *tally {
	if s.tallies[t] == nil {
		s.tallies[t] = &tally{}
	}
	return s.tallies[t]
}

func (s *simulation) anyVM() *simVM {
	for {
		if v := s.vms[s.rng.IntN(len(s.vms))]; v.alive {
			return v
		}
	}
}

// demand sends requests of a team at random instants for a time. The rate may change; vm chooses the VM.
func (s *simulation) demand(
	t ident.Team, rate func(time.Duration) float64, d time.Duration, vm func(time.Duration) *simVM,
) {
	began := s.now
	var next func()
	next = func() {
		at := s.now.Sub(began)
		if at >= d {
			return
		}
		if r := rate(at); r > 0 {
			if at > 0 {
				s.request(vm(at), simRequest{team: t})
			}
			s.after(time.Duration(-math.Log(1-s.rng.Float64())/r*float64(time.Second)), next)
			return
		}
		s.after(10*time.Millisecond, next)
	}
	next()
}

// worstWindow returns the largest number of uses in a window.
func worstWindow(uses []clock.Instant, w time.Duration) int {
	slices.Sort(uses)
	worst, first := 0, 0
	for i := range uses {
		for uses[i].Sub(uses[first]) > w {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// stats returns the sum of the counts of all pools.
func (s *simulation) stats() Stats {
	x := s.retired
	for _, v := range s.vms {
		for _, p := range v.pools {
			x.add(p.Stats())
		}
	}
	return x
}
