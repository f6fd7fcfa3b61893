package candidate

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/connection/upstream"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// The bounds on a look.
const (
	// nearLooks and farLooks are how many targets are asked in the own data centre and, if none there is good, in others.
	nearLooks = 3
	farLooks  = 5
	// nearUsual and farUsual are how many targets of a service a VM uses while they have room: twice as many as it asks,
	// so that one in four may be slow or gone.
	nearUsual = 6
	farUsual  = 8
	// goodScore is the estimate up to which a near target is taken without asking others.
	goodScore = 1.75
	// farFactor is how much better a far target has to be, for the bytes between data centres.
	farFactor = 1.1
	// coldFactor is how much slower a cold target is.
	coldFactor = 2
	// lookPatience is how long a choice waits for reports; targets answer probes at once.
	lookPatience = 20 * time.Millisecond
	// probeTimeout is how long a report is waited for in all; after it the connection is given up.
	probeTimeout = 300 * time.Millisecond
)

// Warmup grants starts at cold targets, whose number a second is bounded over all VMs.
type Warmup interface {
	// Take reserves one start and reports false when this VM must not start one now.
	Take(t *roster.Target, s *route.Service) bool
}

// Chooser chooses targets; it is safe for concurrent use.
type Chooser struct {
	catalog    *catalog.Catalog
	set        *upstream.Set
	self       ident.VM
	dataCentre ident.DataCentre
	warmup     Warmup
	members    func() int
	// probes is how many probes a second all VMs together send to a target.
	probes float64
	clock  clock.Clock
	log    zerolog.Logger
	lanes  lanes
}

// New returns a chooser for a VM in the data centre; members tells how many VMs there are, and probeRate is how many
// probes a second a target may get from all of them.
func New(g *catalog.Catalog, s *upstream.Set, v ident.VM, z ident.DataCentre, w Warmup, members func() int,
	probeRate float64, c clock.Clock, l zerolog.Logger,
) *Chooser {
	if probeRate <= 0 {
		probeRate = defaultProbeRate
	}
	return &Chooser{
		catalog: g, set: s, self: v, dataCentre: z, warmup: w, members: members, probes: probeShare * probeRate,
		clock: c, log: l,
		lanes: lanes{all: map[ident.Service]*lane{}},
	}
}

// Query is what a choice is made for.
type Query struct {
	Request ident.Request
	Service route.Service
	// Tried are the targets that had the request already.
	Tried []ident.Target
	// Work is how long the request takes on an idle target at the usual pace; zero when that isn't known yet.
	Work time.Duration
	// Objective is when the answer begins to be worth less.
	Objective clock.Instant
	// Until is when a choice that finds no target to answer in time is given up, and Deadline when the answer is due.
	Until, Deadline clock.Instant
}

// lateShare is the part of the time left that a target may be expected to take when none can meet the objective.
const lateShare = 0.7

// inTime reports whether a target with the score is worth its slot. One that would run into the deadline wastes it, and
// as long as there is time to wait for a better one, so does one that would miss the objective.
func (q *Query) inTime(now clock.Instant, score float64) bool {
	d := time.Duration(float64(q.Work) * score)
	if now.Add(d) <= q.Objective {
		return true
	}
	return now.Add(lookAgain) >= q.Until && d <= time.Duration(lateShare*float64(q.Deadline.Sub(now)))
}

// Choice is a chosen target, reserved for one request, with a connection that has just answered if there is one.
type Choice struct {
	Upstream *upstream.Upstream
	Conn     *pool.Conn
	// Report is what decided; Asked is how many targets were asked.
	Report exchange.Report
	Asked  int
	Score  float64
}

// candidate is a target that may get the request.
type candidate struct {
	upstream *upstream.Upstream
	target   roster.Target
	cold     bool
}

// seen is a candidate with its report.
type seen struct {
	candidate
	report exchange.Report
	conn   *pool.Conn
	score  float64
	room   bool
}

// Choose returns the target for one request, or why there is none.
func (c *Chooser) Choose(ctx context.Context, q *Query) (Choice, outcome.Reason) {
	l := c.lanes.of(q.Service.Name, c.clock.Now(), c.probes)
	asked := 0
	for {
		ok, held := l.enter(ctx, c.clock, q.Until)
		s, n, any := (*seen)(nil), 0, true
		if ok {
			s, n, any = c.once(ctx, q, l)
		}
		if held {
			l.leave()
		}
		asked += n
		switch {
		case s != nil:
			return Choice{Upstream: s.upstream, Conn: s.conn, Report: s.report, Asked: asked, Score: s.score}, ""
		case !any:
			return Choice{Asked: asked}, outcome.NoTarget
		case ctx.Err() != nil:
			return Choice{Asked: asked}, outcome.Cancelled
		case c.clock.Now() >= q.Until:
			return Choice{Asked: asked}, outcome.Overload
		}
	}
}

// once looks once and reserves the target that it finds; any tells whether there is any target at all.
func (c *Chooser) once(ctx context.Context, q *Query, l *lane) (s *seen, asked int, any bool) {
	k := c.eligible(q)
	if len(k) == 0 {
		return nil, 0, false
	}
	s, asked = c.look(ctx, q, l, k)
	if s != nil && s.room && q.inTime(c.clock.Now(), s.score) && (!s.cold || c.warmup.Take(&s.target, &q.Service)) {
		l.hasRoom()
		s.upstream.Reserve()
		return s, asked, true
	}
	if s != nil {
		s.upstream.Release(s.conn)
	}
	l.noRoom(c.clock.Now())
	return nil, asked, true
}

// eligible returns the targets that may get the request. Targets without trust are left out as long as the others are
// at least half of all.
func (c *Chooser) eligible(q *Query) []candidate {
	v := c.catalog.Get()
	now := c.clock.Now()
	connections := q.Service.MaxConnections / max(c.members(), 1)
	var usable, doubtful []candidate
	for _, t := range v.Roster.Of(q.Service.Name) {
		if slices.Contains(q.Tried, t.ID) {
			continue
		}
		u := c.set.Of(t, connections)
		k := candidate{upstream: u, target: t, cold: now < max(u.ColdUntil(), t.ColdUntil)}
		if u.Usable() {
			usable = append(usable, k)
		} else {
			doubtful = append(doubtful, k)
		}
	}
	if len(usable) < len(doubtful) {
		usable = append(usable, doubtful...)
	}
	return usable
}

// look asks candidates, near ones first, and returns the best; the connections of the others are given back.
func (c *Chooser) look(ctx context.Context, q *Query, n *lane, l []candidate) (*seen, int) {
	rate := c.probes * float64(len(l)) / float64(max(c.members(), 1))
	var near, far []candidate
	for _, k := range l {
		if k.target.DataCentre == c.dataCentre {
			near = append(near, k)
		} else {
			far = append(far, k)
		}
	}
	if full, _ := n.next(); !full {
		near, far = c.usual(near, nearUsual), c.usual(far, farUsual)
	}
	best, asked := c.ask(ctx, q, sample(near, n.spend(c.clock.Now(), rate, min(len(near), nearLooks))))
	if best != nil && best.room && best.score <= goodScore {
		return best, asked
	}
	other, m := c.ask(ctx, q, sample(far, n.spend(c.clock.Now(), rate, min(len(far), farLooks))))
	asked += m
	if other != nil {
		other.score *= farFactor
	}
	b, rest := better(best, other)
	if rest != nil {
		rest.upstream.Release(rest.conn)
	}
	if full, _ := n.next(); b == nil && ctx.Err() == nil && (!full || asked > 0) {
		// Nobody told anything: health answers may be wrong where requests would succeed. But targets that had no room are
		// not sent more for lack of probes.
		b = c.blind(l)
	}
	return b, asked
}

// usual returns the n candidates that this VM uses as long as they have room. They differ from VM to VM, so that all
// targets are used, but a fleet of many VMs and targets doesn't need a connection from each to each.
func (c *Chooser) usual(l []candidate, n int) []candidate {
	if len(l) <= n {
		return l
	}
	slices.SortFunc(l, func(a, b candidate) int {
		return cmp.Compare(c.affinity(a.target.ID), c.affinity(b.target.ID))
	})
	return l[:n]
}

func (c *Chooser) affinity(t ident.Target) uint64 {
	return xxhash.Sum64String(string(c.self) + "/" + string(t))
}

// better returns the better of two and the other one.
func better(a, b *seen) (best, rest *seen) {
	switch {
	case a == nil:
		return b, nil
	case b == nil:
		return a, nil
	case a.room != b.room:
		if a.room {
			return a, b
		}
		return b, a
	case b.score < a.score:
		return b, a
	default:
		return a, b
	}
}

// blind picks the target with the fewest requests of this VM.
func (c *Chooser) blind(l []candidate) *seen {
	k := sample(l, 1)[0]
	n := k.upstream.InFlight()
	return &seen{candidate: k, room: n < int(k.target.Slots), score: 1 + float64(n)}
}

// sample returns n candidates at random, those with fewer requests of this VM first.
func sample(l []candidate, n int) []candidate {
	l = slices.Clone(l)
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	slices.SortStableFunc(l, func(a, b candidate) int { return a.upstream.InFlight() - b.upstream.InFlight() })
	return l[:min(n, len(l))]
}

// ask probes the candidates side by side and returns the best that reported within the patience.
func (c *Chooser) ask(ctx context.Context, q *Query, l []candidate) (*seen, int) {
	if len(l) == 0 {
		return nil, 0
	}
	answers := make(chan *seen)
	over := make(chan struct{})
	defer close(over)
	for _, k := range l {
		go c.probe(q, k, answers, over)
	}
	t := time.NewTimer(lookPatience)
	defer t.Stop()
	var best *seen
	for range l {
		select {
		case s := <-answers:
			var rest *seen
			if best, rest = better(best, s); rest != nil {
				rest.upstream.Release(rest.conn)
			}
			continue
		case <-t.C:
		case <-ctx.Done():
		}
		break
	}
	return best, len(l)
}

// probe asks one candidate and hands its report to the choice, if that still waits. It doesn't end with the request, so
// that a caller that leaves costs no connection.
func (c *Chooser) probe(q *Query, k candidate, answers chan<- *seen, over <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	r, n, err := k.upstream.Probe(ctx, q.Service.HealthPath)
	var s *seen
	if err == nil {
		s = c.judge(k, r, n)
	}
	select {
	case answers <- s:
	case <-over:
		k.upstream.Release(n)
	}
}

// judge turns a report into a candidate that may be taken; nil if it may not.
func (c *Chooser) judge(k candidate, r exchange.Report, n *pool.Conn) *seen {
	if !r.Healthy {
		k.upstream.Release(n)
		return nil
	}
	extra := k.upstream.SentSince(r.At)
	if !r.HasLoad {
		extra = k.upstream.InFlight()
	}
	s := &seen{candidate: k, report: r, conn: n, score: score(&r, extra), room: room(&r, extra)}
	s.cold = r.WarmupLeft > 0 || k.cold
	if s.cold {
		s.score *= coldFactor
	}
	return s
}
