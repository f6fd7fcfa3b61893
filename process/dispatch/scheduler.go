package dispatch

import (
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/handover"
	"github.com/amaranthramp/amaranthramp/process/probe"
	"github.com/amaranthramp/amaranthramp/process/shard"
	"github.com/amaranthramp/amaranthramp/process/target"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/request/queue"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// The estimate of how long a request holds a slot, and the load of a shard without slots.
const (
	// initialServiceTime is the estimate before the first answer.
	initialServiceTime = 20 * time.Millisecond
	// serviceTimeWeight is the weight of one answer in the estimate.
	serviceTimeWeight = 1.0 / 32
	// noCapacityLoad is the load that a shard without usable targets reports.
	noCapacityLoad = 1000
)

// scheduler holds the queue and the targets of one shard. The lock of lockedScheduler serialises access.
type scheduler struct {
	id           ident.Shard
	targets      []*targetEntry
	queue        *queue.Queue
	waiting      map[*queue.Item]*slotRequest
	serviceTime  time.Duration
	newExchanger ExchangerFactory
	// view is the view that was last applied, or nil while this member doesn't dispatch the shard.
	view                *view.View
	dataCentreEvacuated bool
	probeRate           probe.Rate
	// handovers holds what former owners left in flight, by owner; formerOwnership is what the next owner needs, or nil
	// while this member may dispatch the shard.
	handovers       map[ident.Member]*handover.Received
	formerOwnership *formerOwnership
	// blockedUntil is when requests may first start, because a former owner may still have requests in flight at the
	// targets.
	blockedUntil clock.Instant
}

// slotRequest asks for a slot for one request.
type slotRequest struct {
	item       *queue.Item
	idempotent bool
	// granted receives exactly one grant if the slot request was queued and isn't withdrawn.
	granted chan grant
}

// grant is the answer to a slot request: a reservation, or the reason why there is none.
type grant struct {
	reservation *reservation
	reason      outcome.Reason
	// retryAfter is the time after which a slot is likely to be free.
	retryAfter time.Duration
}

func newScheduler(id ident.Shard, now clock.Instant, m ExchangerFactory) *scheduler {
	return &scheduler{
		id: id, queue: queue.New(now), waiting: map[*queue.Item]*slotRequest{},
		serviceTime: initialServiceTime, newExchanger: m, handovers: map[ident.Member]*handover.Received{},
	}
}

func newSlotRequest(i *queue.Item, idempotent bool) *slotRequest {
	return &slotRequest{item: i, idempotent: idempotent, granted: make(chan grant, 1)}
}

// applyView takes over the targets of a view and their states.
func (s *scheduler) applyView(now clock.Instant, v *view.View, c *config.Service, h *shard.Shard) {
	if s.view == v {
		return
	}
	s.view, s.formerOwnership = v, nil
	s.probeRate = probe.Rate{Cost: time.Duration(c.ProbeCost), Share: v.Config.Budget.ProbeShare, Slots: c.Slots}
	s.dataCentreEvacuated = v.Config.DataCentreState(h.DataCentre) == config.Out
	old := map[ident.Address]*targetEntry{}
	for _, p := range s.targets {
		old[p.address] = p
	}
	s.targets = nil
	for _, u := range h.Upstreams {
		p := s.reuseOrCreate(now, old, c, u)
		p.setListed(now, s.dataCentreEvacuated || u.State == config.Out || v.LeavingUpstreams[u.Address])
		s.targets = append(s.targets, p)
	}
	for _, p := range old {
		p.target.Remove()
		if p.target.InFlight(now) > 0 {
			s.targets = append(s.targets, p)
		}
	}
	s.startQueued(now)
}

// reuseOrCreate returns the entry of an upstream. It takes an existing one out of old and creates one otherwise.
func (s *scheduler) reuseOrCreate(now clock.Instant, old map[ident.Address]*targetEntry, c *config.Service,
	u config.Upstream,
) *targetEntry {
	l := target.Limits{Slots: c.Slots, Cold: c.ColdLimit}
	if p, ok := old[u.Address]; ok {
		delete(old, u.Address)
		p.name = u.Name
		p.target.SetLimits(l)
		return p
	}
	return &targetEntry{
		name: u.Name, address: u.Address, target: target.New(l), exchanger: s.newExchanger(c, u.Address),
		probeBudget: probe.NewBudget(now),
	}
}

// submit grants a slot at once, refuses the request, or queues it; it returns false if the request was queued.
func (s *scheduler) submit(now clock.Instant, t *slotRequest) (grant, bool) {
	if t.item.Deadline <= now {
		return grant{reason: outcome.Expired}, true
	}
	c := s.capacity()
	if c.Slots == 0 && s.queue.Len() == 0 {
		if p := s.selectTarget(now, t.idempotent, ""); p != nil {
			return grant{reservation: p.reserve(now, t.item.Deadline)}, true
		}
		return grant{reason: outcome.NoTarget, retryAfter: c.ServiceTime}, true
	}
	s.startQueued(now)
	if s.queue.Len() == 0 {
		if p := s.selectTarget(now, t.idempotent, ""); p != nil {
			return grant{reservation: p.reserve(now, t.item.Deadline)}, true
		}
	}
	w, ok := s.queue.Admit(now, t.item, c)
	if !ok {
		return grant{reason: outcome.Overload, retryAfter: w}, true
	}
	s.waiting[t.item] = t
	// With a longer queue, a slow target can be faster than waiting.
	s.startQueued(now)
	return grant{}, false
}

// submitRetry grants a slot for a second attempt, which isn't queued: the first attempt has used the request's turn in
// the queue.
func (s *scheduler) submitRetry(now clock.Instant, t *slotRequest, tried ident.Address) grant {
	if p := s.selectTarget(now, t.idempotent, tried); p != nil {
		return grant{reservation: p.reserve(now, t.item.Deadline)}
	}
	return grant{reason: outcome.Overload, retryAfter: s.serviceTime}
}

// startQueued starts queued requests while there are targets for them, and refuses those that can't be answered in
// time.
func (s *scheduler) startQueued(now clock.Instant) {
	for {
		i := s.queue.Peek()
		if i == nil {
			return
		}
		if i.LatestStart() <= now {
			s.queue.Remove(now, i)
			s.deliver(i, grant{reason: outcome.Expired, retryAfter: s.serviceTime})
			continue
		}
		p := s.selectTarget(now, s.waiting[i].idempotent, "")
		if p == nil {
			s.refuseWithoutTargets(now)
			return
		}
		i, _ = s.queue.Pop(now)
		s.deliver(i, grant{reservation: p.reserve(now, i.Deadline)})
	}
}

// refuseWithoutTargets refuses all queued requests when no target is left that could ever take them.
func (s *scheduler) refuseWithoutTargets(now clock.Instant) {
	for _, p := range s.targets {
		if st := p.target.State(); st != target.Leaving && st != target.Gone {
			return
		}
	}
	s.refuseQueued(now, outcome.NoTarget)
}

// refuseQueued refuses all queued requests.
func (s *scheduler) refuseQueued(now clock.Instant, r outcome.Reason) {
	for _, i := range s.queue.Drain(now) {
		s.deliver(i, grant{reason: r, retryAfter: s.serviceTime})
	}
}

func (s *scheduler) deliver(i *queue.Item, g grant) {
	t := s.waiting[i]
	delete(s.waiting, i)
	t.granted <- g
}

// withdraw removes a slot request from the queue; it returns false when the grant has already been sent.
func (s *scheduler) withdraw(now clock.Instant, t *slotRequest) bool {
	if !s.queue.Remove(now, t.item) {
		return false
	}
	delete(s.waiting, t.item)
	return true
}

// release frees the slot of a request that has ended and records what its end says about the target.
func (s *scheduler) release(now clock.Instant, b *reservation, m target.Sample) {
	if v, ok := m.(target.Success); ok {
		s.serviceTime += time.Duration(serviceTimeWeight * float64(v.Latency-s.serviceTime))
	}
	b.entry.target.End(now, b.startedAt, m, s.othersMedianLatency(b.entry))
	s.startQueued(now)
}

// capacity returns the slots that the targets' states allow, and the mean service time.
func (s *scheduler) capacity() queue.Capacity {
	n := 0
	for _, p := range s.targets {
		n += int(p.target.Limit())
	}
	return queue.Capacity{Slots: n, ServiceTime: s.serviceTime}
}

// inFlight returns the number of requests in flight at all targets.
func (s *scheduler) inFlight(now clock.Instant) int {
	n := 0
	for _, p := range s.targets {
		n += p.target.InFlight(now)
	}
	return n
}

// load returns the number of queued requests and requests in flight per usable slot.
func (s *scheduler) load(now clock.Instant) float64 {
	c := s.capacity()
	if c.Slots == 0 {
		return noCapacityLoad
	}
	return float64(s.queue.Len()+s.inFlight(now)) / float64(c.Slots)
}
