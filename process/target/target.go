package target

import (
	"slices"
	"time"

	"github.com/looplab/fsm"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// The bounds on failures and on trial requests.
const (
	// maxFailures is how many consecutive failures make a target suspect.
	maxFailures      = 3
	minTrialInterval = 100 * time.Millisecond
	maxTrialInterval = 2 * time.Second
	// cancelNoticeTime is how long a target may take to notice that a request was cancelled.
	cancelNoticeTime = 100 * time.Millisecond
	// nonIdempotentTrialDelay is how much later than an idempotent request one that isn't idempotent may be a trial.
	nonIdempotentTrialDelay = 2 * time.Second
	// staleAnswerAge is the age at which the last answer of a straggling target says little about its current latency.
	staleAnswerAge = 250 * time.Millisecond
)

// Limits are the configured bounds on the requests in flight at one target.
type Limits struct {
	Slots ident.Slots
	Cold  ident.Slots
}

// Target is the state of one target as its owner observes it.
type Target struct {
	limits  Limits
	machine *fsm.FSM
	state   State
	// limit is how many requests may be in flight, between the cold limit and the slots.
	limit ident.Slots
	// startTimes holds the start of each request in flight, oldest first.
	startTimes        []clock.Instant
	inheritedRequests inheritedRequests
	// abandonedEnds holds, for each request that the target may still run although its connection was given up, the
	// instant by which it has ended.
	abandonedEnds       []clock.Instant
	latency             latencyStats
	consecutiveFailures int
	incarnation         string
	// lastAnswer is when the target last gave a complete answer.
	lastAnswer clock.Instant
	nextTrial  trial
	// hasEvidence means that this owner has evidence of its own or has taken over that of a former one.
	hasEvidence bool
}

// inheritedRequests holds how many requests former owners left in flight, and the instant by which all of them have
// ended.
type inheritedRequests struct {
	count     int
	latestEnd clock.Instant
}

// trial says when a suspect target may get its next trial request, and the interval between trial requests.
type trial struct {
	allowedFrom clock.Instant
	interval    time.Duration
}

// New returns a cold target.
func New(l Limits) *Target {
	t := &Target{limits: l, machine: newMachine(Cold), state: Cold}
	t.resetLimit()
	return t
}

// State returns the state.
func (t *Target) State() State {
	return t.state
}

// Limit returns how many requests the state allows to be in flight.
func (t *Target) Limit() ident.Slots {
	switch t.state {
	case Leaving, Gone, Suspect:
		return 0
	case Warm:
		return t.limits.Slots
	default:
		return t.limit
	}
}

// InFlight returns how many requests are in flight, including those of former owners and cancelled ones that may still
// run.
func (t *Target) InFlight(now clock.Instant) int {
	n := len(t.startTimes)
	for _, end := range t.abandonedEnds {
		if now < end {
			n++
		}
	}
	if now < t.inheritedRequests.latestEnd {
		n += t.inheritedRequests.count
	}
	return n
}

// FreeSlots returns how many more requests may start now.
func (t *Target) FreeSlots(now clock.Instant) int {
	return max(int(t.Limit())-t.InFlight(now), 0)
}

// AllowsRequestBeyondSlots reports whether one request beyond the slots may start. The owner uses it only when all
// slots are taken.
func (t *Target) AllowsRequestBeyondSlots(now clock.Instant) bool {
	return t.state == Warm && t.InFlight(now) == int(t.limits.Slots) && !t.Lagging(now)
}

// TrialDue reports whether a suspect target, or a straggling one without a recent answer, may get a trial request now.
// Without trial requests, a target whose share the others have taken over could never show that it has recovered.
func (t *Target) TrialDue(now clock.Instant, idempotent bool) bool {
	allowedFrom := t.nextTrial.allowedFrom
	if t.state == Straggling {
		allowedFrom = t.lastAnswer.Add(staleAnswerAge)
	}
	if !idempotent {
		allowedFrom = allowedFrom.Add(nonIdempotentTrialDelay)
	}
	return (t.state == Suspect || t.state == Straggling) && t.InFlight(now) == 0 && now >= allowedFrom
}

// Recovered reports whether a straggling target's recent latency is no longer far above that of the
// shard's other targets.
func (t *Target) Recovered(others time.Duration) bool {
	return others > 0 && float64(t.latency.recent) <= latencyTolerance*float64(others)
}

// SuspectFreeSlots returns the free slots of a suspect target, up to its cold limit. The owner uses it when too many
// targets of the shard are suspect to exclude them all.
func (t *Target) SuspectFreeSlots(now clock.Instant) int {
	if t.state != Suspect {
		return 0
	}
	return max(int(t.coldLimit())-t.InFlight(now), 0)
}

// Lagging reports whether the oldest request in flight takes far longer than the target's recent answers did.
func (t *Target) Lagging(now clock.Instant) bool {
	p := t.RecentLatency()
	if p == 0 || len(t.startTimes) == 0 {
		return false
	}
	return float64(now.Sub(t.startTimes[0])) > laggingFactor*float64(p)
}

// RecentLatency returns the recent latency of answers, or zero while nothing is known.
func (t *Target) RecentLatency() time.Duration {
	return t.latency.recent
}

// Idle reports whether no answer has come for the given time and nothing is in flight.
func (t *Target) Idle(now clock.Instant, d time.Duration) bool {
	return t.InFlight(now) == 0 && now.Sub(t.lastAnswer) >= d
}

// Begin records that a request starts.
func (t *Target) Begin(now clock.Instant) {
	t.startTimes = append(t.startTimes, now)
	if t.state == Suspect {
		t.nextTrial.allowedFrom = now.Add(t.nextTrial.interval)
	}
}

// End records that the request that began at the given instant has ended. The function others returns the latency of
// the shard's other warm targets, or zero when there is none.
func (t *Target) End(now, began clock.Instant, s Sample, others func() time.Duration) {
	t.removeStarted(began)
	switch s.(type) {
	case Success, Refusal, Failure:
		t.hasEvidence = true
	}
	switch v := s.(type) {
	case Success:
		t.recordSuccess(now, v, others)
	case Refusal:
		t.recordRefusal()
	case Failure:
		t.countAbandoned(now, v.Reason)
		t.recordFailure(now, v.Reason)
	case Abandoned:
		t.countAbandoned(now, outcome.Cancelled)
	case NoEvidence:
	}
}

// countAbandoned counts an abandoned request as in flight until the target may have noticed, unless its connection was
// reset or the target was unreachable.
func (t *Target) countAbandoned(now clock.Instant, r outcome.Reason) {
	if r == outcome.Reset || r == outcome.Unreachable {
		return
	}
	t.abandonedEnds = slices.DeleteFunc(t.abandonedEnds, func(end clock.Instant) bool { return end <= now })
	t.abandonedEnds = append(t.abandonedEnds, now.Add(cancelNoticeTime))
}

func (t *Target) removeStarted(began clock.Instant) {
	for i, b := range t.startTimes {
		if b == began {
			t.startTimes = append(t.startTimes[:i], t.startTimes[i+1:]...)
			return
		}
	}
}

func (t *Target) recordSuccess(now clock.Instant, s Success, others func() time.Duration) {
	stale := t.state == Straggling && now.Sub(t.lastAnswer) >= staleAnswerAge
	t.lastAnswer, t.consecutiveFailures = now, 0
	if t.incarnationChanged(s.Incarnation) || t.state == Suspect {
		t.resetToCold()
	}
	if stale {
		t.latency.recent = movingAverage(t.latency.recent, s.Latency, staleAnswerWeight)
	}
	t.latency.add(s.Latency, t.state == Warm)
	switch t.state {
	case Warm:
		if t.latency.straggles(others) {
			t.markStraggling()
		}
	case Cold, Warming, Straggling:
		if t.latency.addToWindow(s.Latency, others) {
			t.raiseLimit()
		}
	case Suspect, Leaving, Gone:
	}
}

// incarnationChanged reports whether the answer came from another process than earlier ones.
func (t *Target) incarnationChanged(incarnation string) bool {
	if incarnation == "" {
		return false
	}
	old := t.incarnation
	t.incarnation = incarnation
	return old != "" && old != incarnation
}

// raiseLimit doubles the limit, up to the slots.
func (t *Target) raiseLimit() {
	t.limit = min(max(t.limit, 1)*2, t.limits.Slots)
	if t.limit < t.limits.Slots {
		t.fire(eventGrow)
		return
	}
	if t.fire(eventFill) && t.latency.baseline == 0 {
		t.latency.baseline = t.latency.lastWindow
	}
	t.latency.recent = t.latency.lastWindow
}

// markStraggling lowers the limit to the cold limit: the target either straggles or has become cold again.
func (t *Target) markStraggling() {
	t.fire(eventSlow)
	t.resetLimit()
	t.latency.windowSum, t.latency.windowCount, t.latency.lastWindow, t.latency.steadyWindows = 0, 0, 0, 0
}

// recordRefusal halves the limit, since the target itself reports that it can't take more.
func (t *Target) recordRefusal() {
	l := max(t.limit/2, t.coldLimit())
	if !t.resetToCold() {
		return
	}
	t.limit = l
	if t.limit > t.coldLimit() {
		t.fire(eventGrow)
	}
}

func (t *Target) recordFailure(now clock.Instant, r outcome.Reason) {
	t.consecutiveFailures++
	switch {
	case r == outcome.Unreachable || t.consecutiveFailures >= maxFailures || t.state == Suspect:
		t.markSuspect(now)
	case r == outcome.Reset || r == outcome.Truncated:
		t.resetToCold()
	}
}

func (t *Target) markSuspect(now clock.Instant) {
	if t.fire(eventFail) {
		t.nextTrial.interval = minTrialInterval
		t.resetLimit()
		t.latency.reset()
	} else {
		t.nextTrial.interval = min(t.nextTrial.interval*2, maxTrialInterval)
	}
	t.nextTrial.allowedFrom = now.Add(t.nextTrial.interval)
}

// resetToCold treats the target as a process that has just started and reports false in states that don't allow it.
func (t *Target) resetToCold() bool {
	if !t.fire(eventRestart) {
		return false
	}
	t.resetLimit()
	t.latency.reset()
	return true
}

func (t *Target) resetLimit() {
	t.limit = t.coldLimit()
}

// coldLimit returns the cold limit, which is at least one: a target that gets no request could never warm up.
func (t *Target) coldLimit() ident.Slots {
	return max(min(t.limits.Cold, t.limits.Slots), 1)
}

// Leave stops new requests to the target.
func (t *Target) Leave() {
	t.fire(eventLeave)
}

// Return makes a leaving or removed target usable again. It starts cold, since it may have restarted meanwhile.
func (t *Target) Return() {
	if t.fire(eventReturn) {
		t.resetLimit()
		t.latency.reset()
		t.incarnation = ""
	}
}

// Remove marks the target as no longer in the configuration.
func (t *Target) Remove() {
	t.fire(eventRemove)
}

// DiscardEvidence makes the target cold and drops all evidence, because another owner may use the target meanwhile.
func (t *Target) DiscardEvidence() {
	t.resetToCold()
	t.hasEvidence = false
}

// SetLimits changes the limits; if they differ, the target becomes cold.
func (t *Target) SetLimits(l Limits) {
	if l == t.limits {
		return
	}
	t.limits = l
	t.resetToCold()
	t.resetLimit()
}

// RecordProbe records the result of a probe: a failure makes the target suspect, a success only brings its next trial
// forward.
func (t *Target) RecordProbe(now clock.Instant, ok bool) {
	if !ok {
		t.markSuspect(now)
		return
	}
	if t.state == Suspect {
		t.nextTrial.allowedFrom = min(t.nextTrial.allowedFrom, now)
	}
}
