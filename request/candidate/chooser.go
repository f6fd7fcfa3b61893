package candidate

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/connection/upstream"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/admission"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// Parameters of the choice of a target.
const (
	// localProbes is the number of targets probed in this VM's data centre, and remoteProbes the number probed in other
	// data centres if none of the local ones has a low score.
	localProbes  = 3
	remoteProbes = 5
	// saturatedProbes is the number of targets probed in each case while the service is saturated. The rate of probes then
	// limits how many requests find a target, and of several targets with room only one would be used.
	saturatedProbes = 1
	// localSubsetSize and remoteSubsetSize are the numbers of targets of a service that a VM uses as long as they have
	// capacity. They are about twice the numbers of targets probed, so that enough targets to probe are left even if
	// one in four of the subset is slow or gone.
	localSubsetSize  = 6
	remoteSubsetSize = 8
	// maxLocalScore is the highest score with which a local target is chosen without probing remote ones.
	maxLocalScore = 1.75
	// remotePenalty multiplies the scores of remote targets, to account for the traffic between data centres.
	remotePenalty = 1.1
	// coldPenalty multiplies the scores of cold targets, which are slower by this factor.
	coldPenalty = 2
	// reportWait is how long a choice waits for reports. Targets respond to probes immediately.
	reportWait = 20 * time.Millisecond
	// minRecheckInterval is the least time between two probes that only check whether a target still names a limit, and
	// recheckShare the share of the probe rate that all VMs together use for them.
	minRecheckInterval = time.Second
	recheckShare       = 0.25
	// probeTimeout is the timeout of a probe, which may outlast the choice. After it the connection is abandoned.
	probeTimeout = 300 * time.Millisecond
)

// WarmupLimiter limits the rate of requests from all VMs together to each cold target.
type WarmupLimiter interface {
	// Take reports whether this VM may send a request to the cold target now and, if so, counts it.
	Take(t *roster.Target, s *route.Service) bool
}

// Fleet tells how many VMs there are and how they share the requests to a target that names a limit.
type Fleet interface {
	// Members returns the number of VMs, at least one.
	Members() int
	// LimitGap returns the time between two requests of this VM to a target that takes the given rate from all VMs
	// together.
	LimitGap(t ident.Target, r ident.Rate) time.Duration
}

// Balancer tells which data centre's targets are considered first for a request.
type Balancer interface {
	// First returns the data centre for a request to a service with a body of the given size, and counts the request.
	First(s ident.Service, body ident.Bytes) ident.DataCentre
}

// Home is a Balancer that always considers the targets of one data centre first.
type Home ident.DataCentre

// First returns the data centre.
func (h Home) First(ident.Service, ident.Bytes) ident.DataCentre {
	return ident.DataCentre(h)
}

// Chooser chooses the targets of requests. It is safe for concurrent use.
type Chooser struct {
	catalog    *catalog.Catalog
	upstreams  *upstream.Set
	vm         ident.VM
	dataCentre ident.DataCentre
	warmup     WarmupLimiter
	fleet      Fleet
	balancer   Balancer
	// probeRate is the rate, in probes per second, that all VMs together send to a target.
	probeRate float64
	clock     clock.Clock
	log       zerolog.Logger
	limiters  probeLimiters
	// holds delays the use of targets of new versions; nil if it is not delayed.
	holds *versionHolds
}

// New returns a chooser for a VM in the given data centre. probeRate is the limit on the probes per second that a
// target may receive from all VMs together.
func New(g *catalog.Catalog, s *upstream.Set, v ident.VM, z ident.DataCentre, w WarmupLimiter,
	f Fleet, b Balancer, probeRate float64, c clock.Clock, l zerolog.Logger,
) *Chooser {
	if probeRate <= 0 {
		probeRate = defaultProbeRate
	}
	return &Chooser{
		catalog: g, upstreams: s, vm: v, dataCentre: z, warmup: w, fleet: f, balancer: b,
		probeRate: probeRateShare * probeRate,
		clock:     c, log: l,
		limiters: probeLimiters{byPool: map[poolID]*probeLimiter{}},
	}
}

// Query describes the request for which a target is to be chosen.
type Query struct {
	Request ident.Request
	Service route.Service
	// Tried lists the targets to which the request was already sent.
	Tried []ident.Target
	// BaseLatency is the estimated latency on an idle target without slowdown; zero if not known yet.
	BaseLatency time.Duration
	// Objective is the time after which the response begins to lose value.
	Objective clock.Instant
	// WaitUntil is when the choice fails if no target that could respond in time has been found.
	WaitUntil clock.Instant
	// Deadline is when the response is due.
	Deadline clock.Instant
	// Body is the size of the request's body.
	Body ident.Bytes
	// First is the data centre whose targets are considered first; Choose sets it.
	First ident.DataCentre
	// ProbedOnly makes the choice fail at once if no target answers a probe, instead of choosing one anyway.
	ProbedOnly bool
	// Filter restricts the targets by their versions; nil if it does not.
	Filter Filter

	// Admission is what admission control knows of the request; the same for all choices for it. If it is nil, the
	// request counts as one of the highest priority without an objective.
	Admission *admission.Request

	// until is when the choice fails at present: at WaitUntil, or earlier while the service is saturated.
	until clock.Instant
	// room is the number of requests per slot up to which a target may be chosen.
	room float64
	// answered counts the targets that have answered a probe of this choice, also those that answered after reportWait.
	answered atomic.Int64
	// full counts the probes that were not sent since this VM uses all connections that it may open to the target.
	full atomic.Int64
}

// Filter restricts the targets of a request by their versions.
type Filter interface {
	// Split returns those of the available targets to which the request should be sent and, if there are others to fall
	// back to while the preferred ones can't take it, these as well.
	Split(available []roster.Target) (preferred, fallback []roster.Target)
	// Pool names the preferred targets. Pools of different names have probe limiters of their own; the fallback targets
	// share that of unrestricted requests, whose name is empty.
	Pool() string
}

// maxLateShare is the largest share of the time left until the deadline that a target's expected latency may take if no
// target can meet the objective.
const maxLateShare = 0.7

// fastEnough reports whether a target with the given score is fast enough to be sent the request. A request that would
// miss its deadline only wastes a slot. So does one that would miss its objective, as long as there is still time to
// wait for a faster target.
func (q *Query) fastEnough(now clock.Instant, score float64) bool {
	d := time.Duration(float64(q.BaseLatency) * score)
	if now.Add(d) <= q.Objective {
		return true
	}
	until := q.WaitUntil
	if q.until != 0 {
		until = q.until
	}
	return now.Add(reprobeDelay) >= until && d <= time.Duration(maxLateShare*float64(q.Deadline.Sub(now)))
}

// Choice is the target chosen for a request, which is already counted as in flight there. It includes the connection
// on which the target has just responded to a probe, if any.
type Choice struct {
	Upstream *upstream.Upstream
	Conn     *pool.Conn
	// Report is the target's report, on which the choice is based; zero if the target was chosen without one.
	Report exchange.Report
	// Probed is the number of targets probed, including those of earlier unsuccessful rounds, and Answered the number of
	// them that had answered when the choice ended.
	Probed   int
	Answered int
	Score    float64
	// Cold is whether the target was in its cold start.
	Cold bool
	// Limited is whether the request has been counted towards a limit that the target names.
	Limited bool
	// RetryAfter is, if there is no target because all have asked for a pause or take no more requests from this VM at
	// present, when the first one takes some again; zero otherwise.
	RetryAfter time.Duration
	// Rejected means that the request has been rejected since the service is saturated. RetryAfter is then the delay for
	// its caller.
	Rejected bool

	// full is the number of targets in Probed that were not asked, since this VM had no connection left for the probe.
	full int
	// limiter is that of the service.
	limiter *probeLimiter
}

// Accepts reports whether the request may still be sent to the target, which may have announced since the choice that
// it leaves, or may have asked for a pause or named a limit.
func (h *Choice) Accepts() bool {
	_, limited := h.Upstream.Limit()
	return h.Upstream.Accepts() && (h.Limited || !limited)
}

// candidate is a target to which the request may be sent.
type candidate struct {
	upstream *upstream.Upstream
	target   roster.Target
	cold     bool
	// room is the number of requests per slot up to which the target may be chosen.
	room float64
}

// probeResult is a candidate with its report and the resulting score.
type probeResult struct {
	candidate
	report      exchange.Report
	conn        *pool.Conn
	score       float64
	hasCapacity bool
	// limited is whether the target names a limit towards which the request is counted.
	limited bool
}

// Choose returns the target for a request, or the reason why there is none.
func (c *Chooser) Choose(ctx context.Context, q *Query) (Choice, outcome.Reason) {
	q.First = c.balancer.First(q.Service.Name, q.Body)
	var h Choice
	pool := ""
	if q.Filter != nil {
		var s *probeResult
		if s, pool = c.tryPreferred(ctx, q, &h); s != nil {
			return h.withTarget(s), ""
		}
	}
	l := c.limiters.get(poolID{q.Service.Name, pool}, c.clock.Now(), c.probeRate)
	defer c.logSaturation(l, q.Service.Name)
	if d, ok := l.arrive(c.clock.Now(), q).(admission.Reject); ok {
		h.RetryAfter, h.Rejected = d.RetryAfter, true
		return h, outcome.Overload
	}
	h, reason := c.choose(ctx, q, l, h)
	h.limiter = l
	saturated := l.finish(c.clock.Now(), q, reason == "")
	if saturated && reason == outcome.Overload && h.RetryAfter == 0 {
		h.RetryAfter, h.Rejected = l.retryAfter(c.clock.Now(), q), true
	}
	return h, reason
}

// choose tries to choose a target until it finds one or the request may wait no longer. It adds to the probes in h.
func (c *Chooser) choose(ctx context.Context, q *Query, l *probeLimiter, h Choice) (Choice, outcome.Reason) {
	for first := true; ; first = false {
		if q.Filter != nil && !first {
			if s, _ := c.tryPreferred(ctx, q, &h); s != nil {
				return h.withTarget(s), ""
			}
		}
		ok, held := l.acquireTurn(ctx, c.clock, q)
		s, n, hasTargets := (*probeResult)(nil), probeCount{}, true
		if ok {
			s, n, hasTargets = c.tryChoose(ctx, q, l)
		}
		if held {
			l.releaseTurn(c.clock)
		}
		h.Probed += n.probed
		h.Answered, h.full = int(q.answered.Load()), int(q.full.Load())
		switch {
		case s != nil:
			return h.withTarget(s), ""
		case !hasTargets:
			d := c.unavailableFor(&q.Service)
			if d > 0 && c.clock.Now().Add(d) <= q.WaitUntil && clock.Sleep(ctx, d) {
				continue
			}
			return h.withoutTarget(d)
		case ctx.Err() != nil:
			return h, outcome.Cancelled
		case q.ProbedOnly && h.Answered == 0:
			return h, outcome.Unreachable
		case c.clock.Now() >= l.waitUntil(c.clock.Now(), q):
			return h, outcome.Overload
		}
	}
}

// End records how the request ended at the chosen target and how long that took.
func (h *Choice) End(now clock.Instant, r ident.Route, e outcome.Event, took time.Duration) {
	if h.limiter != nil {
		h.limiter.end(now, r, e, took)
	}
}

// logSaturation logs when a service becomes saturated and when it ceases to be.
func (c *Chooser) logSaturation(l *probeLimiter, s ident.Service) {
	a, changed := l.saturationChange(c.clock.Now())
	if !changed {
		return
	}
	v := c.log.Info().Str("Service", string(s)).Float64("Success", float64(a.Success)).Dur("Wait", a.Wait).
		Float64("Capacity", float64(a.Capacity)).Int("Waiting", a.Waiting)
	if a.Saturated {
		v.Msg("service saturated: requests wait for their turn or are rejected")
		return
	}
	v.Msg("service no longer saturated")
}

// Unanswered reports whether targets were probed and none had answered when the choice ended.
func (h *Choice) Unanswered() bool {
	return h.Probed > h.full && h.Answered == 0
}

// withTarget returns the result with a target.
func (h Choice) withTarget(s *probeResult) Choice {
	h.Upstream, h.Conn, h.Report, h.Score, h.Limited = s.upstream, s.conn, s.report, s.score, s.limited
	h.Cold = s.cold
	return h
}

// withoutTarget returns the result for a service without an eligible target. If all its targets take no requests from
// this VM for a time, that time is positive.
func (h Choice) withoutTarget(unavailableFor time.Duration) (Choice, outcome.Reason) {
	if unavailableFor > 0 {
		h.RetryAfter = unavailableFor
		return h, outcome.Overload
	}
	return h, outcome.NoTarget
}

// unavailableFor returns when the first target of a service takes requests from this VM again, if all of them leave,
// have asked for a pause, or name a limit of which this VM has used its part; zero otherwise.
func (c *Chooser) unavailableFor(s *route.Service) time.Duration {
	shortest := time.Duration(0)
	for _, t := range c.catalog.Get().Roster.Available(s.Name) {
		u := c.upstreams.Get(t, c.connectionLimit(s))
		d := u.QuietFor()
		if u.Accepts() {
			if d = max(u.LimitWait(c.fleet.LimitGap), c.holds.left(&t, c.clock.Now())); d == 0 {
				return 0
			}
		}
		if d > 0 && (shortest == 0 || d < shortest) {
			shortest = d
		}
	}
	return shortest
}

// connectionLimit returns how many connections this VM may open to a target of a service; zero means no limit. A share
// of less than one connection still is a limit.
func (c *Chooser) connectionLimit(s *route.Service) int {
	if s.MaxConnections <= 0 {
		return 0
	}
	return max(s.MaxConnections/max(c.fleet.Members(), 1), 1)
}

// tryChoose tries once to choose a target, and counts the request as in flight there, so that concurrent choices take
// it into account. The result hasTargets is false if the service has no eligible target at all.
func (c *Chooser) tryChoose(ctx context.Context, q *Query, l *probeLimiter) (
	s *probeResult, probed probeCount, hasTargets bool,
) {
	p := c.pools(q)
	if len(p.last) == 0 {
		return nil, probed, false
	}
	s, probed = c.tryTargets(ctx, q, l, p.last)
	return s, probed, true
}

// tryTargets tries once to choose one of the given candidates, and counts the request as in flight there.
func (c *Chooser) tryTargets(ctx context.Context, q *Query, l *probeLimiter, k []candidate) (*probeResult, probeCount) {
	s, probed := c.probeCandidates(ctx, q, l, k)
	if s != nil && s.hasCapacity && q.fastEnough(c.clock.Now(), s.score) &&
		(!s.cold || c.warmup.Take(&s.target, &q.Service)) {
		l.markSucceeded(c.clock, hasFreeSlot(&s.report))
		var ok bool
		if ok, s.limited = s.upstream.TakeLimit(c.fleet.LimitGap); !ok {
			// A concurrent request has used the limit up; this one may find another target.
			s.upstream.Release(s.conn)
			return nil, probed
		}
		s.upstream.Reserve()
		return s, probed
	}
	if s != nil {
		s.upstream.Release(s.conn)
	}
	l.markFailed(c.clock.Now(), probed.answered > 0 || q.answered.Load() > 0)
	return nil, probed
}

// eligible returns the targets to which the request may be sent. Targets that leave, have asked for a pause, or name a
// limit of which this VM has used its part are never among them. A target is ejected after failures and then gets only
// trial requests (see package upstream). Ejected targets for which no trial is due are excluded only if the
// others are at least half of all targets.
func (c *Chooser) eligible(q *Query, targets []roster.Target) []candidate {
	now := c.clock.Now()
	connections := c.connectionLimit(&q.Service)
	var usable, unusable []candidate
	for _, t := range targets {
		if slices.Contains(q.Tried, t.ID) {
			continue
		}
		if c.holds.left(&t, now) > 0 {
			continue
		}
		u := c.upstreams.Get(t, connections)
		if !u.Accepts() {
			continue
		}
		if u.LimitWait(c.fleet.LimitGap) > 0 {
			c.recheckLimit(u, q.Service.HealthPath)
			continue
		}
		k := candidate{upstream: u, target: t, cold: now < max(u.WarmupEnd(), t.ColdUntil)}
		if u.Usable() {
			usable = append(usable, k)
		} else {
			unusable = append(unusable, k)
		}
	}
	if len(usable) < len(unusable) {
		usable = append(usable, unusable...)
	}
	return usable
}

// subset returns the n candidates that this VM uses as long as they have capacity. Subsets differ between VMs, so that
// all targets are used without a connection from each VM to each target.
func (c *Chooser) subset(l []candidate, n int) []candidate {
	if len(l) <= n {
		return l
	}
	slices.SortFunc(l, func(a, b candidate) int {
		return cmp.Compare(c.affinity(a.target.ID), c.affinity(b.target.ID))
	})
	return l[:n]
}

// affinity returns the sort key by which this VM selects its subset of targets.
func (c *Chooser) affinity(t ident.Target) uint64 {
	return xxhash.Sum64String(string(c.vm) + "/" + string(t))
}

// pickBetter returns the better of two results, either of which may be nil, and the other one.
func pickBetter(a, b *probeResult) (best, rest *probeResult) {
	switch {
	case a == nil:
		return b, nil
	case b == nil:
		return a, nil
	case a.hasCapacity != b.hasCapacity:
		if a.hasCapacity {
			return a, b
		}
		return b, a
	case b.score < a.score:
		return b, a
	default:
		return a, b
	}
}

// chooseUnprobed returns a candidate with the fewest requests in flight from this VM, without a report.
func (c *Chooser) chooseUnprobed(l []candidate) *probeResult {
	k := sample(l, 1)[0]
	n := k.upstream.InFlight()
	return &probeResult{candidate: k, hasCapacity: n < int(k.target.Slots), score: 1 + float64(n)}
}

// sample returns the n candidates with the fewest requests in flight from this VM, with ties broken at random.
func sample(l []candidate, n int) []candidate {
	l = slices.Clone(l)
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	slices.SortStableFunc(l, func(a, b candidate) int { return a.upstream.InFlight() - b.upstream.InFlight() })
	return l[:min(n, len(l))]
}
