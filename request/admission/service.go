package admission

import (
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

const (
	// holdShare is the share of the latency objective for which a request may wait for a target while the service is
	// saturated. A longer wait costs the caller more than a rejection.
	holdShare = 0.125
	// defaultHold applies to routes without a latency objective.
	defaultHold = 60 * time.Millisecond
	// fullShare is the share of the capacity above which requests that can be in time need all of it.
	fullShare = 0.9
	// lowestPriority is the priority as which all less urgent ones count, so that the state is bounded.
	lowestPriority ident.Priority = 7
	// The rooms are how many requests per slot a target may have after it was sent another one. At normalRoom the queue
	// of a target has room for more. At slotRoom no request waits at a target; it is not lower, since a target of two
	// slots would then run one request. urgentRoom lets the most urgent requests in front of the others of all VMs.
	normalRoom = 2.0
	urgentRoom = 1.5
	slotRoom   = 1.0
	// shedShare is the share of requests that targets shed above which their queues are not used, and minShed the weight
	// of those below which the share says nothing.
	shedShare = 0.2
	minShed   = 4.0
	// minRate is the rate in requests per second below which a priority doesn't count as in use.
	minRate = 0.5
)

// Service is the state of one service on one VM. It is not safe for concurrent use.
type Service struct {
	saturation saturation
	capacity   capacity
	// sent counts the requests that found a target, and shed those of them that the target did not run.
	sent, shed counter
	routes     map[ident.Route]*routeState
	classes    [lowestPriority + 1]class
	// waiting holds the requests that have waited for a turn and still look for a target.
	waiting []*waiter
	// changes counts how often the service became or ceased to be saturated.
	changes uint64
}

// waiter is a request that looks for a target.
type waiter struct {
	*Request
	// pending is whether the request waits for a turn; if not, it makes an attempt.
	pending bool
}

// New returns the state of a service of which nothing is known.
func New() *Service {
	return &Service{routes: map[ident.Route]*routeState{}}
}

// Arrive decides on a request that has just arrived; random is in [0,1).
func (s *Service) Arrive(now clock.Instant, r *Request, random float64) Decision {
	r.Priority = min(max(r.Priority, 0), lowestPriority)
	s.setObjective(r)
	c := &s.classes[r.Priority]
	c.arrived.add(now, fairDecay, 1)
	c.demand.add(now, measureDecay, 1)
	inTime := now.Add(s.response(r)) <= r.objective
	if inTime {
		c.inTime.add(now, measureDecay, 1)
	}
	if !s.Saturated(now) {
		c.stats.Admitted++
		return Admit{}
	}
	if v := s.judge(now, r); v != verdictWait {
		c.stats.count(v)
		return Reject{RetryAfter: s.RetryAfter(now, r, random)}
	}
	c.stats.Waited++
	return Wait{}
}

// Again records that a request looks for another target after an earlier attempt. It has its turn in the same order as
// the others, and is not rejected, since a target may have been busy with it already.
func (s *Service) Again(now clock.Instant, r *Request) {
	r.Arrived, r.again = now, true
}

// setObjective sets the objective of a request that arrives, counted from the caller's first attempt, and makes its
// route known, so that response times are kept only for routes of the configuration.
func (s *Service) setObjective(r *Request) {
	if s.routes[r.Route] == nil {
		s.routes[r.Route] = &routeState{}
	}
	r.objective = r.Deadline
	if r.LatencyObjective > 0 {
		r.objective = min(r.Deadline, r.Arrived.Add(r.LatencyObjective-r.Waited))
	}
}

// judge returns whether a request may wait while the service is saturated, or why not.
func (s *Service) judge(now clock.Instant, r *Request) verdict {
	ahead := s.ahead(now, r)
	wait := time.Duration(float64(ahead) / s.classes[r.Priority].capacity.perSecond(now) * float64(time.Second))
	answer := now.Add(wait + s.response(r))
	switch {
	case answer > r.Deadline || wait > r.Hold():
		return verdictFull
	case answer > r.objective && s.needed(now, r.Priority):
		return verdictLate
	default:
		return verdictWait
	}
}

// ahead returns how many of the requests of the same priority that wait have their turn before r. How the other
// priorities delay them shows in the capacity for the priority.
func (s *Service) ahead(now clock.Instant, r *Request) int {
	n := 0
	for _, w := range s.waiting {
		if w.pending && w.Priority == r.Priority && s.before(now, starvedClasses{}, w.Request, r) {
			n++
		}
	}
	return n
}

// needed reports whether requests that can be in time and are at least as urgent need the capacity.
func (s *Service) needed(now clock.Instant, p ident.Priority) bool {
	for _, w := range s.waiting {
		if w.Priority <= p && s.canMeet(now, w.Request) {
			return true
		}
	}
	rate := 0.0
	for i := range s.classes[:p+1] {
		rate += s.classes[i].inTime.value(now, measureDecay) / measureDecay.Seconds()
	}
	return rate > fullShare*s.capacity.perSecond(now)
}

// response returns the estimated response time of the route's targets; zero if it is not known yet.
func (s *Service) response(r *Request) time.Duration {
	if n, ok := s.routes[r.Route]; ok {
		return time.Duration(n.response.value * float64(time.Second))
	}
	return 0
}

// canMeet reports whether a request that got its turn now could meet its objective.
func (s *Service) canMeet(now clock.Instant, r *Request) bool {
	return now.Add(s.response(r)) <= r.objective
}

// Hold returns how long the request may wait for a target while the service is saturated.
func (r *Request) Hold() time.Duration {
	if r.LatencyObjective > 0 {
		return time.Duration(holdShare * float64(r.LatencyObjective))
	}
	return defaultHold
}

// Enqueue makes a request wait for a turn.
func (s *Service) Enqueue(now clock.Instant, r *Request) {
	if i := s.find(r); i >= 0 {
		s.waiting[i].pending = true
		return
	}
	s.waiting = append(s.waiting, &waiter{Request: r, pending: true})
	s.observe(now, r.Priority)
}

// Leave makes a request wait for a turn no longer. Finish must follow.
func (s *Service) Leave(r *Request) {
	if i := s.find(r); i >= 0 {
		s.waiting[i].pending = false
	}
}

// Grant gives a turn to the first in the order of the requests that wait for one, and returns it; nil if there is none.
func (s *Service) Grant(now clock.Instant) *Request {
	var first *waiter
	starved := s.starved(now)
	for _, w := range s.waiting {
		if w.pending && (first == nil || s.before(now, starved, w.Request, first.Request)) {
			first = w
		}
	}
	if first == nil {
		return nil
	}
	first.pending = false
	return first.Request
}

// Finish removes a request that has found a target, if found is true, or waits no longer.
func (s *Service) Finish(now clock.Instant, r *Request, found bool) {
	if i := s.find(r); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	wait := now.Sub(r.Arrived)
	s.saturation.wait.add(waitWeight, wait.Seconds())
	c := &s.classes[r.Priority]
	if found {
		if !r.again {
			c.served.add(now, fairDecay, 1)
		}
		c.stats.Sent++
		c.stats.WaitSum += wait
		s.sent.add(now, fairDecay, 1)
		s.capacity.serve(now)
		c.capacity.serve(now)
	} else {
		c.stats.GaveUp++
	}
	s.observe(now, r.Priority)
}

// observe records whether requests wait, of a priority and at all.
func (s *Service) observe(now clock.Instant, p ident.Priority) {
	s.capacity.observe(now, len(s.waiting) > 0)
	s.classes[p].capacity.observe(now, slices.ContainsFunc(s.waiting, func(w *waiter) bool { return w.Priority == p }))
}

func (s *Service) find(r *Request) int {
	return slices.IndexFunc(s.waiting, func(w *waiter) bool { return w.Request == r })
}

// Attempt records whether an attempt to find a target with a free slot has succeeded.
func (s *Service) Attempt(now clock.Instant, ok bool) {
	s.saturation.attempt(now, ok)
}

// Shed records that a target did not run a request, which counts as a failed attempt.
func (s *Service) Shed(now clock.Instant) {
	s.saturation.attempt(now, false)
	s.shed.add(now, fairDecay, 1)
}

// sheds reports whether targets shed a considerable share of the requests that they are sent, although they have room
// in their queues.
func (s *Service) sheds(now clock.Instant) bool {
	n := s.shed.value(now, fairDecay)
	return n > minShed && n > shedShare*s.sent.value(now, fairDecay)
}

// Respond records how long a target took to respond to a request of a route.
func (s *Service) Respond(r ident.Route, took time.Duration) {
	if n, ok := s.routes[r]; ok {
		n.response.add(responseWeight, took.Seconds())
	}
}

// Saturated reports whether the service is saturated: over about the last second, too few attempts found a target with
// a free slot, and requests waited, here or at the targets.
func (s *Service) Saturated(now clock.Instant) bool {
	oldest := time.Duration(0)
	for _, w := range s.waiting {
		oldest = max(oldest, now.Sub(w.Arrived))
	}
	before := s.saturation.saturated
	if s.saturation.update(now, oldest) != before {
		s.changes++
	}
	return s.saturation.saturated
}

// Room returns how many requests per slot a target may have after it was sent one of the given priority. While the
// service is saturated or its targets shed requests, it is less. While it is saturated, the most urgent requests and
// those of a priority with too small a share get more than the others.
func (s *Service) Room(now clock.Instant, p ident.Priority) float64 {
	p = min(max(p, 0), lowestPriority)
	if s.sheds(now) {
		return slotRoom
	}
	if !s.Saturated(now) {
		return normalRoom
	}
	if s.starved(now)[p] {
		return urgentRoom
	}
	lesser := false
	for i := range s.classes {
		if ident.Priority(i) == p || s.classes[i].demand.value(now, measureDecay) < minRate*measureDecay.Seconds() {
			continue
		}
		if ident.Priority(i) < p {
			return slotRoom
		}
		lesser = true
	}
	if lesser {
		return urgentRoom
	}
	return slotRoom
}
