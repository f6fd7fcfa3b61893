package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/lease"
	"github.com/amaranthramp/amaranthramp/process/witness"
	"github.com/amaranthramp/amaranthramp/wire"
)

// tick is the pause between two calls of core.tick.
const tickInterval = 50 * time.Millisecond

// entryTimeout is how long an entry may take to report that it took a renewed lease.
const unresponsiveEntryTimeout = 750 * time.Millisecond

// reportTimeout is how late an entry's report may be before the next renewal waits for it.
const maxReportDelay = 250 * time.Millisecond

// packet is a frame with its destination.
type packet struct {
	to    ident.Address
	frame *wire.Frame
}

// sent is a renewal that waits for grants; subject is the silent member whose lease it asks for, zero for the own one.
type pendingRenewal struct {
	epoch   uint64
	subject lease.Key
	sentAt  clock.Instant
}

// core decides for one control process, without I/O and clock; its caller serializes all calls.
type core struct {
	witness *witness.Witness
	// mine are the members that this process has been, one for each entry process that connected to it.
	ownKeys map[lease.Key]bool
	self    *wire.Member
	key     lease.Key
	// leaving tells that this member wants to be out of the epoch.
	leaving bool
	// detached tells that the entry process is not connected: it may live and use its lease, which is not renewed.
	detached bool

	// unread is when the lease was renewed for the entry to take, and zero when the entry has reported since.
	unreportedSince clock.Instant

	// epoch is the newest that is known, adopted its instant, and holder the lease under it, nil for a stranger.
	epoch     *wire.Epoch
	adoptedAt clock.Instant
	holder    *lease.Holder
	// shown is the epoch that the entry uses, with the lease under it: the newest, or the one before it as long as
	// its lease is valid and the one under the newest is not yet granted.
	entryEpoch  *wire.Epoch
	entryHolder *lease.Holder

	// inForce and version are what the entry process uses, newest the newest configuration known. The tenures before
	// closed are over, which the others were told up to announced.
	appliedEpoch                        uint64
	closedBefore, announcedClosedBefore uint64
	appliedVersion                      ident.Version
	newestVersion                       ident.Version

	sequence        uint64
	pendingRenewals map[uint64]pendingRenewal
	renewedAt       clock.Instant
	queriedAt       clock.Instant
	joinState       joinState
	members         map[lease.Key]*wire.Member
	tenures         *tenureTracker
	detector        *failureDetector
	// deputies are the silent members whose leases this one asks for, heardDeputies who holds those of others, and rests
	// until when this one doesn't ask.
	deputies          map[lease.Key]*deputy
	announcedDeputies map[lease.Key]announcedDeputy
	deputyRetryAt     map[lease.Key]clock.Instant
	joinRequests      map[lease.Key]joinRequest
	prunableSince     clock.Instant
	usableCache       usableEpoch
	// flaws are rules that tests remove to see that their oracle notices.
	disabled disabledRules
}

// flaws names the rules that a test can remove; the product never sets one.
type disabledRules struct {
	leaseStartsAtSend, grantNewestEpochOnly, waitForEarlierEpochs, checkTarget, assumeGrantsBeforeStart, oneHolderPerLease, reportDeputyGrants bool
}

// usable is the epoch that the entry gets, computed from an epoch and the tenures closed so far.
type usableEpoch struct {
	source  *wire.Epoch
	changes int
	epoch   *wire.Epoch
}

func newCore(now clock.Instant) *core {
	return &core{
		witness: witness.New(now), ownKeys: map[lease.Key]bool{}, epoch: &wire.Epoch{}, entryEpoch: &wire.Epoch{},
		adoptedAt: now, pendingRenewals: map[uint64]pendingRenewal{}, members: map[lease.Key]*wire.Member{}, tenures: newTenureTracker(),
		detector: newFailureDetector(), joinRequests: map[lease.Key]joinRequest{}, deputies: map[lease.Key]*deputy{},
		announcedDeputies: map[lease.Key]announcedDeputy{}, deputyRetryAt: map[lease.Key]clock.Instant{},
	}
}

// start makes this process the given new member, in place of the former one.
func (c *core) start(self *wire.Member) {
	c.self = self
	c.key = lease.KeyOf(self)
	c.ownKeys[c.key] = true
	c.leaving, c.detached = false, false
	c.unreportedSince = 0
	c.appliedEpoch, c.closedBefore, c.announcedClosedBefore = 0, 0, 0
	c.appliedVersion = 0
	clear(c.deputies)
	c.joinState = joinState{}
	c.holder = nil
	c.startLease()
	c.entryEpoch, c.entryHolder = c.epoch, c.holder
}

// leave makes this member want to be out of the epoch.
func (c *core) leave() {
	c.leaving = true
}

// detach stops the renewals and leaves the epoch, since the entry process has ended or can't be reached.
func (c *core) detach() {
	c.detached = true
	c.leaving = true
}

// away tells that this member should be out of the epoch: it leaves, or its entry takes no views and so may be paused.
func (c *core) shouldLeave(now clock.Instant) bool {
	return c.leaving || c.unreportedSince != 0 && now.Sub(max(c.unreportedSince, c.detector.resumedAt)) > unresponsiveEntryTimeout
}

// unheard tells whether the entry has not yet reported the last renewal, so that the next one has to wait. The lease of
// an entry that hangs then ends sooner; one that is only late has its lease all the same.
func (c *core) reportOverdue(now clock.Instant) bool {
	return c.unreportedSince != 0 && now.Sub(max(c.unreportedSince, c.detector.resumedAt)) > maxReportDelay
}

// left tells whether this member is out of the epoch, its entry uses that epoch, and its tenures are over.
func (c *core) hasLeft() bool {
	return c.leaving && !c.isMember() && c.closedBefore >= c.epoch.GetNumber()
}

// adopt takes an epoch unless a newer one is known.
func (c *core) adopt(now clock.Instant, e *wire.Epoch) {
	if e.GetNumber() < c.epoch.GetNumber() {
		return
	}
	newer := e.GetNumber() > c.epoch.GetNumber()
	c.epoch = e
	c.tenures.setEpoch(e)
	if !newer {
		return
	}
	c.adoptedAt = now
	c.witness.PromiseEpoch(e.GetNumber())
	clear(c.members)
	for _, m := range e.GetMembers() {
		c.members[lease.KeyOf(m)] = m
	}
	c.detector.setMembers(now, c.key, e.GetMembers())
	clear(c.deputies)
	clear(c.announcedDeputies)
	clear(c.deputyRetryAt)
	c.startLease()
	if c.self != nil && !c.isMember() {
		c.joinState.backOff(now)
	}
	c.selectEntryEpoch(now)
}

// hold starts a lease under the newest epoch.
func (c *core) startLease() {
	c.holder = nil
	if c.isMember() {
		c.holder = lease.NewHolder(c.key, c.epoch)
	}
	c.renewedAt = 0
	c.queriedAt = 0
}

func (c *core) isMember() bool {
	return c.self != nil && hasMember(c.epoch, c.self.GetId())
}

// settle decides which epoch the entry is shown: the newest as soon as that interrupts nothing.
func (c *core) selectEntryEpoch(now clock.Instant) {
	if c.entryEpoch == c.epoch {
		return
	}
	kept := c.entryHolder != nil && c.entryHolder.ExpiresAt() > now
	same := c.entryEpoch.GetNumber() == c.epoch.GetNumber()
	own := c.tenures.closedBefore(c.key, c.epoch.GetNumber()) == c.epoch.GetNumber()
	if !kept || same || c.holder == nil || own && c.holder.ExpiresAt() > now {
		c.entryEpoch, c.entryHolder = c.epoch, c.holder
	}
}

// enforce notes which epoch and configuration the entry process uses, and tells the others of a new epoch.
func (c *core) noteApplied(now clock.Instant, epoch uint64, v ident.Version) []packet {
	c.appliedVersion = v
	c.unreportedSince = 0
	c.appliedEpoch = max(c.appliedEpoch, epoch)
	return c.updateClosed(now)
}

// settleClosed decides which tenures of this member are over, and tells the others.
func (c *core) updateClosed(now clock.Instant) []packet {
	c.tenures.closeExpired(now, c.key)
	c.closedBefore = max(c.closedBefore, c.tenures.closedBefore(c.key, c.appliedEpoch))
	c.tenures.noteClosedByOwner(c.key, c.closedBefore)
	c.selectEntryEpoch(now)
	if c.closedBefore <= c.announcedClosedBefore {
		return nil
	}
	c.announcedClosedBefore = c.closedBefore
	return c.announceHeader()
}

// learn notes the newest configuration that this process knows.
func (c *core) learnVersion(now clock.Instant, v ident.Version) {
	c.newestVersion = max(c.newestVersion, v)
	c.witness.LearnVersion(now, v)
}

// announce tells every other member the epoch and the configuration of this one.
func (c *core) announceHeader() []packet {
	var r []packet
	for _, m := range c.epoch.GetMembers() {
		if c.self != nil && m.GetId() != c.self.GetId() {
			r = append(r, c.packetTo(m, &wire.Frame{}))
		}
	}
	return r
}

// state returns what the entry has to know; its epoch is shared and must not be changed.
func (c *core) state(now clock.Instant) State {
	c.selectEntryEpoch(now)
	s := State{
		Self: ident.Member(c.self.GetId()), Newest: ident.Epoch(c.epoch.GetNumber()), Epoch: c.usable(),
	}
	if c.entryHolder != nil {
		s.LeaseUntil = c.entryHolder.ExpiresAt()
	}
	if c.entryEpoch == c.epoch {
		s.Deputies = c.knownDeputies(now, s.LeaseUntil)
	}
	return s
}

// usable returns the shown epoch with only those tenures open that can still be valid.
func (c *core) usable() *wire.Epoch {
	if c.usableCache.source == c.entryEpoch && c.usableCache.changes == c.tenures.changes {
		return c.usableCache.epoch
	}
	e := proto.Clone(c.entryEpoch).(*wire.Epoch)
	e.Earlier = openEarlierEpochs(e, func(epoch uint64, id string) bool {
		return c.tenures.isClosed(epoch, id) || c.tenures.heldByOwnerOnly(epoch, id, c.key)
	})
	if c.disabled.waitForEarlierEpochs {
		e.Earlier = nil
	}
	c.usableCache = usableEpoch{source: c.entryEpoch, changes: c.tenures.changes, epoch: e}
	return e
}

// tick does what is due and returns what is to be sent.
func (c *core) tick(now clock.Instant) []packet {
	r := c.updateClosed(now)
	r = append(r, c.renewLease(now)...)
	r = append(r, c.renewDeputyLeases(now)...)
	r = append(r, c.queryOpenTenures(now)...)
	r = append(r, c.querySilentMembers(now)...)
	r = append(r, c.requestJoin(now)...)
	c.witness.Prune(now, func(k lease.Key) bool { return c.members[k] != nil })
	return r
}

// renew asks the witnesses for the lease under the newest epoch, sooner when there is none yet.
func (c *core) renewLease(now clock.Instant) []packet {
	if c.holder == nil || c.detached || (c.reportOverdue(now) && !c.leaving) {
		return nil
	}
	p := lease.RenewalInterval
	if c.holder.ExpiresAt() <= now {
		p = tickInterval
	}
	if now.Sub(c.renewedAt) < p {
		return nil
	}
	c.renewedAt = now
	for s, q := range c.pendingRenewals {
		if now.Sub(q.sentAt) > lease.Term {
			delete(c.pendingRenewals, s)
		}
	}
	return c.requestLease(now, c.holder, 0)
}

// ask asks the witnesses of a lease for its renewal; subject is the silent member whose it is, zero for the own one.
func (c *core) requestLease(now clock.Instant, h *lease.Holder, subject lease.Key) []packet {
	c.sequence++
	c.pendingRenewals[c.sequence] = pendingRenewal{epoch: h.Epoch, subject: subject, sentAt: now}
	var r []packet
	for _, m := range h.Witnesses {
		q := &wire.LeaseRequest{Sequence: c.sequence, Version: uint64(c.appliedVersion), Subject: uint64(subject)}
		r = append(r, c.packetTo(m, &wire.Frame{Body: &wire.Frame_Request{Request: q}}))
	}
	return r
}

// packet fills in the header of a frame to a member.
func (c *core) packetTo(m *wire.Member, f *wire.Frame) packet {
	f.Target = uint64(lease.KeyOf(m))
	return packet{to: ident.Address(m.GetWitnessAddress()), frame: c.setHeader(f)}
}

func (c *core) setHeader(f *wire.Frame) *wire.Frame {
	f.Sender = uint64(c.key)
	f.Epoch = c.witness.PromisedEpoch()
	f.Closed = c.closedBefore
	f.Version = uint64(c.newestVersion)
	return f
}

func hasMember(e *wire.Epoch, id string) bool {
	for _, m := range e.GetMembers() {
		if m.GetId() == id {
			return true
		}
	}
	return false
}
