package rollout

import (
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

// ReportInterval is the time between two reports of a VM while an order runs.
const ReportInterval = 250 * time.Millisecond

// Rules of a VM.
const (
	// shareFactor is the part of the exposure share that is used. The rest covers retries, which reach targets without
	// being requests of callers.
	shareFactor = 0.6
	// maxSavedRequests limits how many requests to the new version a VM may save up while it can't send them, so that
	// they don't overload the few targets that are probed when it can again.
	maxSavedRequests = 2
	// acknowledgementLife is the time since the report was sent after which its acknowledgement is void. Together with
	// a decider's quorumLife it is well below the rollback bound of 5 s.
	acknowledgementLife = 1500 * time.Millisecond
	// turnLength is the time for which the same new targets are probed.
	turnLength = 1500 * time.Millisecond
	// selfCloseDelay is how long a VM without acknowledgements may use old targets while the order is Moving.
	selfCloseDelay = 2 * time.Second
	// completedPeriod is how long old targets are avoided after the completion of an order. Their registrations may
	// outlast them for some seconds.
	completedPeriod = 30 * time.Second
	// maxStops limits the number of stopped orders that are remembered; a service has one order at a time.
	maxStops = 16
	// sentTimesKept is the number of reports whose sending times are remembered; they cover acknowledgementLife.
	sentTimesKept = 8
	// reportsAfterEnd is how long a VM goes on reporting after the end of an order, so that deciders which have not seen
	// the end know that it is in touch.
	reportsAfterEnd = 2 * time.Second
)

// Use says which targets a request may be sent to. Targets of the order's new version are new, all others are old.
type Use int

// Uses of targets.
const (
	// UseAny does not restrict the choice of a target: the service has no order that matters.
	UseAny Use = iota
	// UseOld allows old targets only.
	UseOld
	// UseProbe prefers the new targets of State.Targets and falls back to old targets.
	UseProbe
	// UseNewFirst prefers any new target and falls back to old targets.
	UseNewFirst
	// UseNew allows new targets only.
	UseNew
)

// Self identifies the VM of a State or Decider.
type Self struct {
	VM ident.VM
	// Process identifies the run of the process; later runs on the same VM have higher values, such as the start time in
	// Unix nanoseconds.
	Process uint64
}

// State is the state of one service on one VM. It should exist before the service's first order, so that requests in
// flight to old targets are known. It is safe for concurrent use.
type State struct {
	self    Self
	bound   Bound
	service ident.Service

	mu       sync.Mutex
	inFlight map[ident.TargetVersion]int
	stops    []stop
	// abandoned lists the versions of earlier orders that have not been completed.
	abandoned VersionList
	order     *orderState
}

// stop records that the new version of an order must not be used any more.
type stop struct {
	version ident.TargetVersion
	order   OrderID
	reason  string
}

// orderState is the part of a state that belongs to one order.
type orderState struct {
	order Order
	// startedAt is the earliest instant at which any member is known to have learned of the order.
	startedAt clock.Instant
	// status is the furthest status that is known, from the store or from a decider.
	status   Status
	endedAt  clock.Instant
	movingAt clock.Instant
	stopped  string
	closed   bool
	// acknowledgedAt is when the report was sent to which the last permission belongs, and confirmedAt when this VM's
	// copy of the store was current; zero if never.
	acknowledgedAt clock.Instant
	confirmedAt    clock.Instant

	sentOld, sentNew uint64
	// tokens is the number of requests that may be sent to the new version; reserved ones are taken off.
	tokens      float64
	creditGiven bool
	// sawOld is true once an old target has been available. Until then, withoutOld is true: an order without an old
	// version, such as one that names the version in service, must not stop the service.
	sawOld, withoutOld bool
	evidence           *evidence
	limits             limits
	sequence           uint64
	sentTimes          [sentTimesKept]clock.Instant
}

// New returns the state of a service without an order.
func New(self Self, b Bound, s ident.Service) *State {
	return &State{self: self, bound: b, service: s, inFlight: map[ident.TargetVersion]int{}}
}

// Update tells the state the service's order and its status in the store, or nil if there is none, and the members
// that are considered alive. It must be called whenever one of them changes.
func (s *State) Update(now clock.Instant, o *Order, members []roster.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o == nil {
		s.order = nil
		return
	}
	if s.order == nil || s.order.order.ID != o.ID || s.order.order.Version != o.Version {
		if p := s.order; p != nil {
			s.abandoned = s.abandoned.after(p.order.Version, p.status.State)
		}
		s.order = &orderState{
			order: *o, startedAt: o.LearnedAt, evidence: newEvidence(), limits: limits{},
			stopped: s.stopReason(o.Version, o.ID),
		}
	}
	p := s.order
	p.order = *o
	p.order.Excluded = s.abandoned.union(o.Excluded).Without(o.Version)
	p.advance(now, o.Status)
	if !p.creditGiven && len(members) > 0 {
		p.creditGiven = true
		if hasCredit(o, s.self.VM, members, s.bound.Slack) {
			p.tokens++
		}
	}
}

// advance adopts a status if it is further than the known one. Within an order, the status never goes back, so an older
// one comes from a delayed message or from an older copy of the store.
func (p *orderState) advance(now clock.Instant, t Status) {
	if t.rank() <= p.status.rank() {
		return
	}
	p.status = t
	switch {
	case t.ended():
		p.endedAt = now
	case t.Phase == Moving:
		p.movingAt = now
	}
}

func (s *State) stopReason(v ident.TargetVersion, id OrderID) string {
	for _, x := range s.stops {
		if x.version == v && x.order == id {
			return x.reason
		}
	}
	return ""
}

// stop records a stop of an order, which need not be the present one: a stop may arrive before the order.
func (s *State) stop(v ident.TargetVersion, id OrderID, reason string) {
	if s.stopReason(v, id) != "" {
		return
	}
	if len(s.stops) >= maxStops {
		s.stops = s.stops[1:]
	}
	s.stops = append(s.stops, stop{version: v, order: id, reason: reason})
	if p := s.order; p != nil && p.order.Version == v && p.order.ID == id {
		p.stopped = reason
	}
}

// Confirm tells the state that this VM's copy of the store was current at the given time. While the order is Moving,
// that replaces the acknowledgements of the deciders.
func (s *State) Confirm(at clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.order != nil {
		s.order.confirmedAt = max(s.order.confirmedAt, at)
	}
}

// Receive handles an acknowledgement or a stop; other messages are ignored.
func (s *State) Receive(now clock.Instant, m *wire.RolloutMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, id := ident.TargetVersion(m.GetVersion()), OrderID(m.GetOrder())
	if x := m.GetStop(); x != nil {
		s.stop(v, id, nonEmpty(x.GetReason()))
	}
	p := s.order
	if p == nil || p.order.Version != v || p.order.ID != id {
		return
	}
	p.startedAt = min(p.startedAt, now.Add(-time.Duration(m.GetAgeMs())*time.Millisecond))
	s.exclude(VersionList(m.GetExcluded()))
	if a := m.GetAcknowledgement(); a != nil && a.GetProcess() == s.self.Process {
		p.acknowledge(now, a)
	}
}

// exclude adds versions that must not be used as old ones.
func (s *State) exclude(l VersionList) {
	p := s.order
	if !p.order.Excluded.containsAll(l.Without(p.order.Version)) {
		s.abandoned = s.abandoned.union(l).Without(p.order.Version)
		p.order.Excluded = p.order.Excluded.union(s.abandoned)
	}
}

func nonEmpty(reason string) string {
	if reason == "" {
		return "unknown"
	}
	return reason
}

func (p *orderState) acknowledge(now clock.Instant, a *wire.RolloutAcknowledgement) {
	p.advance(now, Status{
		State: Progress(a.GetState()), Version: p.order.Version, Phase: Phase(a.GetPhase()), Order: p.order.ID,
	})
	for _, l := range a.GetLimits() {
		p.limits[routeKey(l.GetRoute())] = bucket(l.GetBucket())
	}
	q := a.GetSequence()
	if q == 0 || q > p.sequence || p.sequence-q >= sentTimesKept {
		return
	}
	if a.GetProceed() {
		p.acknowledgedAt = max(p.acknowledgedAt, p.sentTimes[q%sentTimesKept])
	}
	if a.GetClose() && p.status.Phase == Moving {
		p.closed = true
	}
}

// Report returns the message for the deciders, or nil if none is needed now. It should be called every ReportInterval.
func (s *State) Report(now clock.Instant) *wire.RolloutMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.order
	if p == nil || p.status.ended() && now.Sub(p.endedAt) > reportsAfterEnd {
		return nil
	}
	p.sequence++
	p.sentTimes[p.sequence%sentTimesKept] = now
	r := &wire.RolloutReport{
		Process: s.self.Process, Sequence: p.sequence, Phase: string(p.status.Phase),
		Closed: s.mode(now) == UseNew, InFlightOld: uint32(s.inFlightOld()),
		SentOld: p.sentOld, SentNew: p.sentNew, Stopped: p.stopped != "",
	}
	p.evidence.fill(r)
	return &wire.RolloutMessage{
		Service: string(s.service), Version: string(p.order.Version), Order: uint64(p.order.ID), VM: string(s.self.VM),
		AgeMs: p.age(now).Milliseconds(), Excluded: string(p.order.Excluded), Report: r,
	}
}

func (p *orderState) age(now clock.Instant) time.Duration {
	return now.Sub(p.startedAt)
}

func (s *State) inFlightOld() int {
	n := 0
	for v, c := range s.inFlight {
		if v != s.order.order.Version {
			n += c
		}
	}
	return n
}

// mode returns which targets may be used, whatever the share that the new version has had so far.
func (s *State) mode(now clock.Instant) Use {
	p := s.order
	switch {
	case p == nil:
		return UseAny
	case p.status.State == Completed && now.Sub(p.endedAt) >= completedPeriod:
		if p.order.Excluded != "" {
			return UseNewFirst
		}
		return UseAny
	case p.status.State == Completed:
		return UseNew
	case p.status.State == RolledBack || p.stopped != "":
		return UseOld
	case p.status.Phase == Moving:
		return p.movingMode(now)
	case p.age(now) >= p.order.Duration || !p.acknowledged(now):
		return UseOld
	}
	return UseProbe
}

func (p *orderState) movingMode(now clock.Instant) Use {
	confirmed := p.confirmedAt != 0 && now.Sub(p.confirmedAt) < acknowledgementLife
	switch {
	case p.acknowledged(now) && !p.closed:
		return UseNewFirst
	case p.acknowledged(now):
		return UseNew
	case !confirmed:
		return UseOld
	case p.closed || now.Sub(p.movingAt) >= selfCloseDelay:
		return UseNew
	}
	return UseNewFirst
}

func (p *orderState) acknowledged(now clock.Instant) bool {
	return p.acknowledgedAt != 0 && now.Sub(p.acknowledgedAt) < acknowledgementLife
}

// Targets returns those of the available targets that an attempt with the given use should be sent to and, if there are
// others to fall back to, these as well.
func (s *State) Targets(now clock.Instant, u Use, available []roster.Target) (preferred, fallback []roster.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u == UseAny || s.order == nil {
		return available, nil
	}
	var old, fresh []roster.Target
	for _, t := range available {
		switch {
		case t.Version == s.order.order.Version:
			fresh = append(fresh, t)
		case !s.order.order.Excluded.Has(t.Version):
			old = append(old, t)
		}
	}
	s.order.withoutOld = len(old) == 0 && (s.order.withoutOld || !s.order.sawOld)
	s.order.sawOld = s.order.sawOld || len(old) > 0
	if s.order.withoutOld {
		return available, nil
	}
	switch u {
	case UseOld:
		return old, nil
	case UseNew:
		return fresh, nil
	case UseProbe:
		turn := int(s.order.age(now) / turnLength)
		return Subset(s.service, turn, s.share(), warm(now, fresh)), old
	}
	return fresh, old
}

// warm returns the targets that are not cold or, if all are, all of them: the responses of cold ones are no evidence.
func warm(now clock.Instant, targets []roster.Target) []roster.Target {
	var l []roster.Target
	for _, t := range targets {
		if t.ColdUntil <= now {
			l = append(l, t)
		}
	}
	if len(l) == 0 {
		return targets
	}
	return l
}

func (s *State) share() ident.Share {
	return shareFactor * s.bound.Share
}
