package rollout

import (
	"math"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Verdict is the judgement on a new version.
type Verdict int

// Verdicts.
const (
	Undecided Verdict = iota
	Good
	Bad
)

// The error rates of the tests (Wald's sequential probability ratio test).
const (
	// condemnError is the probability of condemning a good version, over all tests of an order together.
	condemnError = 0.001
	// acceptError is the probability of accepting a bad version.
	acceptError = 0.01
	// testCount is the number of tests among which condemnError is divided: failures and slowness, for each of eight
	// routes and for all together, with one to spare.
	testCount = 2 * (maxReportRoutes + 2)
	// windowFactor divides the error rate of a test on the recent responses, which is made anew for each window. An order
	// of a minute has about this many windows for each half of the rate.
	windowFactor = 20
)

// evidenceWindow is the length of the recent period that is tested by itself, so that a version that turns bad later is
// not excused by its past.
const evidenceWindow = 3 * time.Second

// The thresholds of the logarithm of the likelihood ratio.
var (
	condemnTotal  = math.Log((1 - acceptError) / (condemnError / testCount / 2))
	condemnWindow = math.Log((1 - acceptError) / (condemnError / testCount / 2 / windowFactor))
	acceptTotal   = math.Log(acceptError / (1 - condemnError))
)

// Rules for evidence that comes from few targets.
const (
	// minRest is the least logarithm of the likelihood ratio without the worst target with which a version is condemned.
	// It makes it 150 times more likely than not that a target other than a single slow machine is bad, too.
	minRest = 5
	// minTargetResponses is the number of responses from which on a target counts as probed.
	minTargetResponses = 3
	// doubtPeriod is how long a version may look bad by one target alone until it is condemned nevertheless. Within it the
	// next target is probed, see turnLength.
	doubtPeriod = 2 * time.Second
	// minDoubtResponses is the least number of bad responses with which that happens. With fewer, a slow machine may be
	// the only target so far, since VMs with few requests send the next ones late; the bounds leave time until the 50th.
	minDoubtResponses = 30
	// maxRouteDoubt is the greatest logarithm of the likelihood ratio of a single route with which a version is accepted.
	maxRouteDoubt = 3
)

// aspect is what a test looks at: failures or slowness.
type aspect struct {
	index int
	name  string
	// of returns the bad responses and all of the aspect.
	of func(Tally) (bad, all float64)
	// The test is made for a bad version whose rate of bad responses is higher than that of the old one by gap or, if that
	// is more, by gapPart of it: against a high rate, a small difference would need more responses than an order has.
	gap, gapPart float64
	// minRate is the least rate that is assumed for the old version.
	minRate float64
}

const aspectCount = 2

// aspects are the aspects that are tested. A version that fails 5 % of its responses above the old one's rate moves the
// test on failures towards bad, and one that fails less than 3 % above it towards good.
var aspects = [aspectCount]aspect{
	{
		index: 0, name: "failures", gap: 0.08, gapPart: 0.7, minRate: 0.01,
		of: func(t Tally) (float64, float64) { return float64(t.Failures), float64(t.Responses) },
	},
	{
		index: 1, name: "slowness", gap: 0.3, minRate: 0.03,
		of: func(t Tally) (float64, float64) { return float64(t.Slow), float64(t.Timed) },
	},
}

// maxRate and maxWorse bound the rates assumed for the old and the bad version. They are so near to 1 that two versions
// that both fail nearly always are not told apart.
const (
	maxRate  = 0.95
	maxWorse = 0.99
)

// minBaseline is the least number of old responses from which a rate is derived.
const minBaseline = 30

// cautionFactor multiplies the old version's rate when a version is to be condemned, for the error of that rate.
const cautionFactor = 1.5

// ratio returns the logarithm of the likelihood ratio of a tally for an old version with the given rate.
func (a aspect) ratio(t Tally, rate float64) float64 {
	rate = min(max(rate, a.minRate), maxRate)
	worse := min(rate+max(a.gap, a.gapPart*rate), maxWorse)
	bad, all := a.of(t)
	return bad*math.Log(worse/rate) + (all-bad)*math.Log((1-worse)/(1-rate))
}

// rate returns the rate of bad responses, if there are enough responses.
func (a aspect) rate(t Tally) (float64, bool) {
	bad, all := a.of(t)
	if all < minBaseline {
		return 0, false
	}
	return bad / all, true
}

// group is the result of a test on some of the cells.
type group struct {
	// sum is the logarithm of the likelihood ratio, and worst the part of the target that contributes most to it.
	sum, worst  float64
	worstTarget uint32
	// targets is the number of targets probed.
	targets int
}

// rest returns the logarithm of the likelihood ratio without the worst target.
func (g group) rest() float64 {
	return g.sum - max(g.worst, 0)
}

// excused returns the logarithm of the likelihood ratio, without the worst target if there are enough others to judge
// by and none has been left out already: it may be on a slow machine.
func (g group) excused(skip outlier) float64 {
	if g.targets >= 3 && !skip.found {
		return g.rest()
	}
	return g.sum
}

// outlier is a target that is left out of the tests of an aspect, if one is found.
type outlier struct {
	target uint32
	found  bool
}

// outlier returns the one target that looks bad by itself while the others together look good: its machine is slow or
// broken. Without it, the responses of a route come from too few targets to tell.
func (p *proof) outlier(a aspect) outlier {
	plain := func(k cellKey) float64 { return p.plainRate(a, k) }
	g := groupsOf(p.total, a, plain, outlier{})[allRoutes]
	return outlier{target: g.worstTarget, found: g.targets >= 3 && g.worst >= minRest && g.rest() <= 0}
}

// groupKey is the key of a route's group, or allRoutes.
type groupKey uint64

// allRoutes is the key of the group of all cells.
const allRoutes groupKey = math.MaxUint64

// groupsOf tests the cells of each route, and of all together, against the rates of the old version.
func groupsOf(s *sums, a aspect, rate func(cellKey) float64, skip outlier) map[groupKey]group {
	type score struct{ ratio, all float64 }
	type part struct {
		group  groupKey
		target uint32
	}
	parts := map[part]score{}
	for k, t := range s.cells {
		_, all := a.of(t)
		if all == 0 || skip.found && k.target == skip.target {
			continue
		}
		ratio := a.ratio(t, rate(k))
		for _, g := range []groupKey{groupKey(k.route), allRoutes} {
			p := part{group: g, target: k.target}
			x := parts[p]
			parts[p] = score{ratio: x.ratio + ratio, all: x.all + all}
		}
	}
	groups := map[groupKey]group{}
	for p, x := range parts {
		g, ok := groups[p.group]
		if !ok {
			g.worst = math.Inf(-1)
		}
		g.sum += x.ratio
		if x.ratio > g.worst {
			g.worst, g.worstTarget = x.ratio, p.target
		}
		if x.all >= minTargetResponses {
			g.targets++
		}
		groups[p.group] = g
	}
	return groups
}

// judge tests the new version against the old one.
type judge struct {
	// doubtSince is since when the version has looked bad by one target alone; zero if it does not.
	doubtSince clock.Instant
}

// finding is the result of the tests at one time.
type finding struct {
	verdict Verdict
	// reason names the test that decided or, without a verdict, the one that did not.
	reason string
}

// proof is the evidence that is judged: all of it, and that of the recent window.
type proof struct {
	total, recent       *sums
	oldTotal, oldRecent Tally
	zoneOf              map[uint32]zoneKey
	timing              timing
}

func newProof(total, recent *sums, zoneOf map[uint32]zoneKey, t timing) *proof {
	return &proof{
		total: total, recent: recent, oldTotal: total.old(), oldRecent: recent.old(), zoneOf: zoneOf, timing: t,
	}
}

// judge tests the evidence.
func (j *judge) judge(now clock.Instant, p *proof) finding {
	doubt, missing, badResponses := "", "", 0.0
	for _, a := range aspects {
		cautious := func(k cellKey) float64 { return cautionFactor * p.highestRate(a, k) }
		skip := p.outlier(a)
		for _, t := range []struct {
			sums      *sums
			threshold float64
		}{{sums: p.total, threshold: condemnTotal}, {sums: p.recent, threshold: condemnWindow}} {
			groups := groupsOf(t.sums, a, cautious, skip)
			for _, g := range groups {
				certain, doubtful := condemned(g, t.threshold, groups[allRoutes].targets)
				if certain {
					return finding{verdict: Bad, reason: a.name}
				}
				if doubtful {
					doubt = a.name
					badResponses, _ = a.of(p.total.fresh())
				}
			}
		}
		if m := p.missing(a, skip); m != "" {
			missing = a.name + " " + m
		}
	}
	if doubt == "" {
		j.doubtSince = 0
		if missing == "" {
			return finding{verdict: Good, reason: "all tests"}
		}
		return finding{reason: missing}
	}
	if j.doubtSince == 0 {
		j.doubtSince = now
	}
	if now.Sub(j.doubtSince) >= doubtPeriod && badResponses >= minDoubtResponses {
		return finding{verdict: Bad, reason: doubt + " of few targets"}
	}
	return finding{reason: doubt + " of few targets"}
}

// condemned reports whether a test condemns the version for certain, or may do so if no other target proves it good.
// targets is the number of targets probed on all routes.
func condemned(g group, threshold float64, targets int) (certain, doubtful bool) {
	if g.sum < threshold {
		return false, false
	}
	if g.rest() >= minRest {
		return true, true
	}
	return false, targets < 2 || g.rest() > 0
}

// missing says which test of an aspect does not accept the version yet, and is empty if all do: the test on all routes
// together must accept it, and neither a single route nor the recent responses may contradict.
func (p *proof) missing(a aspect, skip outlier) string {
	plain := func(k cellKey) float64 { return p.plainRate(a, k) }
	groups := groupsOf(p.total, a, plain, skip)
	if groups[allRoutes].excused(skip) > acceptTotal {
		return "undecided"
	}
	for _, g := range groups {
		if g.excused(skip) > maxRouteDoubt {
			return "in doubt on a route"
		}
	}
	for _, g := range groupsOf(p.recent, a, plain, skip) {
		if g.excused(skip) > maxRouteDoubt {
			return "in doubt recently"
		}
	}
	return ""
}

// highestRate returns the old version's rate of bad responses with which a cell is compared to condemn it: the highest
// of those of its route, of its data centre and of all, overall and recently.
func (p *proof) highestRate(a aspect, k cellKey) float64 {
	z := p.zoneOf[k.target]
	r := p.plainRate(a, k)
	for _, t := range []Tally{
		p.total.routes[k.route], p.total.zones[z], p.oldTotal,
		p.recent.routes[k.route], p.recent.zones[z], p.oldRecent,
	} {
		if x, ok := a.rate(t); ok {
			r = max(r, x)
		}
	}
	return r
}

// plainRate returns the old version's rate of bad responses on the cell's route or, if it has too few, on all routes,
// for the time in which the new version got its responses.
func (p *proof) plainRate(a aspect, k cellKey) float64 {
	x, ok := a.rate(p.total.routes[k.route])
	if !ok {
		x, _ = a.rate(p.oldTotal)
	}
	return x * p.timing.factor(a, p.oldTotal)
}

// timing compares the old version's rates of bad responses in the time in which the new version got its responses with
// those of the whole time. Most responses of the new version come late, since it warms up and each VM must have sent a
// number of requests first; if both versions get worse meanwhile, the old one's average would be too good.
type timing struct {
	byAspect [aspectCount]struct{ expected, all float64 }
}

// priorWeight is the number of responses at the overall rate that is added to those of a short time.
const priorWeight = 30

// add adds a short time in which the versions had the given responses; oldTotal are those of the whole time.
func (t *timing) add(old, fresh, oldTotal Tally) {
	for i, a := range aspects {
		rate, ok := a.rate(oldTotal)
		if !ok {
			continue
		}
		bad, all := a.of(old)
		_, n := a.of(fresh)
		x := &t.byAspect[i]
		x.all += n
		x.expected += n * (bad + priorWeight*rate) / (all + priorWeight)
	}
}

// factor returns the ratio of the two rates.
func (t *timing) factor(a aspect, oldTotal Tally) float64 {
	rate, ok := a.rate(oldTotal)
	x := t.byAspect[a.index]
	if !ok || rate == 0 || x.all == 0 {
		return 1
	}
	return x.expected / x.all / rate
}

// Rules for a VM that stops by its own evidence.
const (
	// ownFailures is the least number of failures of the new version, and ownThreshold the least logarithm of the
	// likelihood ratio. They are far above those of the deciders, since the path from this VM may be to blame.
	ownFailures  = 10
	ownThreshold = 16
	ownMinRate   = 0.05
)

// overwhelming reports whether the responses of a single VM suffice to stop using the new version.
func overwhelming(old, fresh Tally) bool {
	if fresh.Failures < ownFailures {
		return false
	}
	a := aspects[0]
	rate, _ := a.rate(old)
	return a.ratio(fresh, max(cautionFactor*rate, ownMinRate)) >= ownThreshold
}

// Rules for the slowness limit of a route.
const (
	// minLatencies is the least number of the old version's latencies from which a limit is derived.
	minLatencies = 20
	// slowBuckets is the distance of the limit from the median: two doublings of the latency would miss a version that
	// is three times slower, so the limit is one doubling above the end of the median's bucket.
	slowBuckets = bucketsPerOctave + 1
)

// slownessLimits returns the limits of the routes for which enough is known.
func slownessLimits(byRoute map[routeKey]*histogram) limits {
	l := limits{}
	for k, h := range byRoute {
		if h.total() >= minLatencies {
			l[k] = min(h.median()+slowBuckets, bucketCount-1)
		}
	}
	return l
}
