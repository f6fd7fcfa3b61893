package rollout

import (
	"slices"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

// StepInterval is the time between two steps of a decider while an order runs.
const StepInterval = 100 * time.Millisecond

// Rules of the deciders.
const (
	// quorumLife is the time since its last report for which another decider counts as in touch.
	quorumLife = time.Second
	// rankDelay is the time by which a decider waits longer than the one before it that is in touch.
	rankDelay = 500 * time.Millisecond
	// writeRetry is the time between two attempts to write the same status.
	writeRetry = 500 * time.Millisecond
	// judgeInterval is the time between two judgements.
	judgeInterval = 200 * time.Millisecond
	// stopInterval is the time between two stop messages to all members, which may get lost, and stopPeriod the time for
	// which they are repeated once the roll-back has been written.
	stopInterval = time.Second
	stopPeriod   = 3 * time.Second
)

// Decider decides on the orders of one service. Each member may have one for each service; it acts only while the
// member is among the service's Deciders. The reports of the member's own State must be given to it like those of the
// others, and its messages to that State. It is safe for concurrent use.
type Decider struct {
	self    Self
	bound   Bound
	service ident.Service

	mu      sync.Mutex
	members []roster.Member
	// deciders are the service's deciders by rank, and rank is this member's own; -1 if it is not one of them.
	deciders []roster.Member
	rank     int
	// abandoned lists the versions of earlier orders that have not been completed.
	abandoned VersionList
	order     *deciderOrder
}

// deciderOrder is the part of a decider that belongs to one order.
type deciderOrder struct {
	order Order
	// startedAt is the earliest instant at which any member is known to have learned of the order.
	startedAt clock.Instant
	// status is the furthest status that the store has shown.
	status            Status
	movingAt, endedAt clock.Instant
	members           map[ident.VM]*memberState
	sums              *fleetSums
	window            window
	judge             judge
	judgedAt          clock.Instant
	finding           finding
	stoppedAt         clock.Instant
	closing           bool
	write             pendingWrite
}

// memberState is what a decider knows of a member.
type memberState struct {
	process, sequence uint64
	heardAt           clock.Instant
	closed            bool
	inFlightOld       int
	sentOld, sentNew  uint64
	sums              memberSums
}

// pendingWrite is the status that is to be written.
type pendingWrite struct {
	status  Status
	since   clock.Instant
	triedAt clock.Instant
}

// NewDecider returns a decider without an order.
func NewDecider(self Self, b Bound, s ident.Service) *Decider {
	return &Decider{self: self, bound: b, service: s, rank: -1}
}

// Update tells the decider the service's order and its status in the store, or nil if there is none, and the members
// that are considered alive.
func (d *Decider) Update(now clock.Instant, o *Order, members []roster.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Equal(d.members, members) {
		d.members = slices.Clone(members)
		d.deciders = Deciders(d.service, members)
		d.rank = slices.IndexFunc(d.deciders, func(m roster.Member) bool { return m.Name == d.self.VM })
	}
	if o == nil {
		d.order = nil
		return
	}
	if d.order == nil || d.order.order.ID != o.ID || d.order.order.Version != o.Version {
		if p := d.order; p != nil {
			d.abandoned = d.abandoned.after(p.order.Version, p.status.State)
		}
		d.order = &deciderOrder{
			order: *o, startedAt: o.LearnedAt, members: map[ident.VM]*memberState{}, sums: newFleetSums(),
		}
	}
	p := d.order
	p.order = *o
	p.order.Excluded = d.abandoned.union(o.Excluded).Without(o.Version)
	if o.Status.rank() <= p.status.rank() {
		return
	}
	p.status = o.Status
	switch {
	case o.Status.ended():
		p.endedAt = now
	case o.Status.Phase == Moving:
		p.movingAt = now
	}
}

// Receive handles a report, and a stop sent by another decider; other messages are ignored.
func (d *Decider) Receive(now clock.Instant, m *wire.RolloutMessage) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.order
	if p == nil || m.GetVersion() != string(p.order.Version) || m.GetOrder() != uint64(p.order.ID) {
		return nil
	}
	p.startedAt = min(p.startedAt, now.Add(-time.Duration(m.GetAgeMs())*time.Millisecond))
	if l := VersionList(m.GetExcluded()).Without(p.order.Version); !p.order.Excluded.containsAll(l) {
		d.abandoned = d.abandoned.union(l)
		p.order.Excluded = p.order.Excluded.union(l)
	}
	if x := m.GetStop(); x != nil {
		p.condemn(now, nonEmpty(x.GetReason()))
	}
	r := m.GetReport()
	if r == nil || d.rank < 0 || !p.take(now, ident.VM(m.GetVM()), r) {
		return nil
	}
	return []Action{Acknowledge{To: ident.VM(m.GetVM()), Message: d.acknowledgement(now, r)}}
}

// take adds a report to the evidence, and reports false if it is older than the last one of the member.
func (p *deciderOrder) take(now clock.Instant, vm ident.VM, r *wire.RolloutReport) bool {
	m, ok := p.members[vm]
	if !ok || r.GetProcess() > m.process {
		// The counts of the former process stay in the sums.
		m = &memberState{process: r.GetProcess(), sums: newMemberSums()}
		p.members[vm] = m
	}
	if r.GetProcess() < m.process || r.GetSequence() <= m.sequence {
		return false
	}
	m.sequence = r.GetSequence()
	m.heardAt = now
	m.closed = r.GetClosed()
	m.inFlightOld = int(r.GetInFlightOld())
	m.sentOld, m.sentNew = r.GetSentOld(), r.GetSentNew()
	p.sums.add(&m.sums, r)
	return true
}

func (p *deciderOrder) condemn(now clock.Instant, reason string) {
	if p.finding.verdict != Bad {
		p.finding = finding{verdict: Bad, reason: reason}
		// The sender of a stop repeats it itself; the others begin later.
		p.stoppedAt = now
	}
}

// message returns a message on the order without its content.
func (d *Decider) message(now clock.Instant) *wire.RolloutMessage {
	p := d.order
	return &wire.RolloutMessage{
		Service: string(d.service), Version: string(p.order.Version), Order: uint64(p.order.ID), VM: string(d.self.VM),
		AgeMs: now.Sub(p.startedAt).Milliseconds(), Excluded: string(p.order.Excluded),
	}
}

func (d *Decider) acknowledgement(now clock.Instant, r *wire.RolloutReport) *wire.RolloutMessage {
	p := d.order
	m := d.message(now)
	a := &wire.RolloutAcknowledgement{
		Sequence: r.GetSequence(), Process: r.GetProcess(),
		Proceed: p.finding.verdict != Bad && !p.status.ended() && d.quorum(now),
		State:   string(p.status.State), Phase: string(p.status.Phase), Close: p.closing,
	}
	for k, b := range slownessLimits(p.sums.latencies) {
		if len(a.Limits) < maxReportRoutes*2 {
			a.Limits = append(a.Limits, &wire.RolloutLimit{Route: uint32(k), Bucket: uint32(b)})
		}
	}
	m.Acknowledgement = a
	return m
}

// quorum reports whether most of the deciders are in touch with this one. Without it, another decider may have evidence
// that this one can't see.
func (d *Decider) quorum(now clock.Instant) bool {
	n := 0
	for _, m := range d.deciders {
		if m.Name == d.self.VM || d.inTouch(now, m.Name) {
			n++
		}
	}
	return d.rank >= 0 && 2*n > len(d.deciders)
}

func (d *Decider) inTouch(now clock.Instant, vm ident.VM) bool {
	m, ok := d.order.members[vm]
	return ok && now.Sub(m.heardAt) < quorumLife
}

// Step returns what is to be done now. It should be called every StepInterval while an order runs.
func (d *Decider) Step(now clock.Instant) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.order
	if p == nil || d.rank < 0 {
		return nil
	}
	if !p.status.ended() && now.Sub(p.judgedAt) >= judgeInterval {
		p.judgeNow(now)
		p.closing = p.closing || d.mayClose(now)
	}
	var l []Action
	if a, ok := d.stop(now); ok {
		l = append(l, a)
	}
	if a, ok := d.writeStatus(now); ok {
		l = append(l, a)
	}
	return l
}

// judgeNow brings the verdict up to date. Bad is final; Good is not until it has been acted on.
func (p *deciderOrder) judgeNow(now clock.Instant) {
	p.judgedAt = now
	old, fresh := p.sent()
	p.window.add(now, &p.sums.sums, old, fresh)
	if p.finding.verdict == Bad {
		return
	}
	p.finding = p.judge.judge(now, newProof(&p.sums.sums, p.window.recent(&p.sums.sums), p.sums.zoneOf, p.window.timing))
}

// stop returns the message that stops the new version, if it is due.
func (d *Decider) stop(now clock.Instant) (Action, bool) {
	p := d.order
	if p.finding.verdict != Bad || p.status.State == Completed {
		return nil, false
	}
	if p.status.ended() && now.Sub(p.endedAt) >= stopPeriod {
		return nil, false
	}
	if p.stoppedAt != 0 && now.Sub(p.stoppedAt) < stopInterval {
		return nil, false
	}
	p.stoppedAt = now
	m := d.message(now)
	m.Stop = &wire.RolloutStop{Reason: p.finding.reason}
	return SendStop{Message: m}, true
}

// writeStatus returns the write of the status that is wanted, if it is due for this rank.
func (d *Decider) writeStatus(now clock.Instant) (Action, bool) {
	p := d.order
	want, reason, ok := d.wanted(now)
	if !ok {
		p.write = pendingWrite{}
		return nil, false
	}
	if p.write.status != want {
		p.write = pendingWrite{status: want, since: now}
	}
	w := &p.write
	if now.Sub(w.since) < time.Duration(d.ranksBefore(now))*rankDelay {
		return nil, false
	}
	if w.triedAt != 0 && now.Sub(w.triedAt) < writeRetry {
		return nil, false
	}
	w.triedAt = now
	return WriteStatus{Service: d.service, Revision: p.order.Revision, Status: want, Reason: reason}, true
}

// ranksBefore returns the number of deciders of lower rank that are in touch. At the start of an order, none has been
// heard of yet, and all are taken to be.
func (d *Decider) ranksBefore(now clock.Instant) int {
	if now.Sub(d.order.startedAt) < quorumLife {
		return d.rank
	}
	n := 0
	for _, m := range d.deciders[:d.rank] {
		if d.inTouch(now, m.Name) {
			n++
		}
	}
	return n
}

// DeciderSnapshot is a copy of a decider for the dump and the metrics.
type DeciderSnapshot struct {
	Version ident.TargetVersion
	Order   OrderID
	// Rank is this member's rank among the deciders; -1 if it is not one of them.
	Rank    int
	Verdict Verdict
	// Reason names the test that decided or, without a verdict, the one that did not.
	Reason string
	// Quorum is true if enough deciders are in touch to let the new version be used.
	Quorum bool
	// Reporting is the number of members whose reports are recent.
	Reporting int
	Old, New  Tally
}

// Snapshot returns the state for the dump and the metrics.
func (d *Decider) Snapshot(now clock.Instant) DeciderSnapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.order
	if p == nil {
		return DeciderSnapshot{Rank: d.rank}
	}
	s := DeciderSnapshot{
		Version: p.order.Version, Order: p.order.ID, Rank: d.rank, Verdict: p.finding.verdict, Reason: p.finding.reason,
		Quorum: d.quorum(now), Old: p.sums.old(), New: p.sums.fresh(),
	}
	for vm := range p.members {
		if d.inTouch(now, vm) {
			s.Reporting++
		}
	}
	return s
}
