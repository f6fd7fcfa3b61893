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

// tickInterval is the time between two calls of core.tick.
const tickInterval = 50 * time.Millisecond

// unresponsiveEntryTimeout is how long an entry process may take to report that it applied a renewed lease, before its
// member leaves the epoch.
const unresponsiveEntryTimeout = 750 * time.Millisecond

// lateStatusTimeout is how long an entry process may take to report that it applied a renewed lease, before the control
// process stops to renew the lease until the report arrives.
const lateStatusTimeout = 250 * time.Millisecond

// packet is a frame with its destination address.
type packet struct {
	to    ident.Address
	frame *wire.Frame
}

// pendingRenewal is a lease request that was sent to the witnesses. subject is the silent member whose lease is
// requested by a deputy, or zero for this member's own lease.
type pendingRenewal struct {
	epoch   uint64
	subject lease.Key
	sentAt  clock.Instant
}

// core is the membership state machine of one control process. It does no I/O and reads no clock; its caller must
// serialize all calls.
type core struct {
	witness *witness.Witness
	// ownKeys are the keys of all members that this process has been: one for each entry process that connected to it.
	ownKeys map[lease.Key]bool
	self    *wire.Member
	key     lease.Key
	// leaving is set when this member is to be removed from the epoch.
	leaving bool
	// entryDetached is set while no entry process is connected. The entry may still run and use its lease, so the lease
	// is not renewed.
	entryDetached bool

	// awaitingStatusSince is when the oldest renewal was granted that the entry has not reported to have applied yet;
	// zero if there is none.
	awaitingStatusSince clock.Instant

	// epoch is the newest known epoch, adopted at adoptedAt. holder tracks this member's lease under it and is nil if
	// this process is not a member of it.
	epoch     *wire.Epoch
	adoptedAt clock.Instant
	holder    *lease.Holder
	// entryEpoch is the epoch that the entry uses and entryHolder tracks the lease under it. It is the newest epoch, or
	// the one before for as long as the lease under that one is valid and the lease under the newest is not granted
	// yet.
	entryEpoch  *wire.Epoch
	entryHolder *lease.Holder

	// appliedEpoch and appliedVersion are the epoch and the configuration version that the entry uses; newestVersion is
	// the newest known configuration version. All tenures of this member under epochs before closedBefore are closed.
	// announcedClosedBefore is the value of closedBefore that was last sent to the other members.
	appliedEpoch                        uint64
	closedBefore, announcedClosedBefore uint64
	appliedVersion                      ident.Version
	newestVersion                       ident.Version

	// sequence is the number of the last lease request. This member's lease was last requested at renewedAt, and
	// questions about the open tenures were last sent at questionsSentAt.
	sequence        uint64
	pendingRenewals map[uint64]pendingRenewal
	renewedAt       clock.Instant
	questionsSentAt clock.Instant
	joinState       joinState
	members         map[lease.Key]*wire.Member
	tenures         *tenureTracker
	detector        *failureDetector
	// deputyLeases are the leases of silent members that this member requests or holds as their deputy,
	// announcedDeputies the other members that announced that they hold such a lease. deputyRetryAt is when this
	// member may request such a lease again after it got no quorum. All three have the silent member as the key.
	deputyLeases      map[lease.Key]*deputyLease
	announcedDeputies map[lease.Key]announcedDeputy
	deputyRetryAt     map[lease.Key]clock.Instant
	joinRequests      map[lease.Key]joinRequest
	// prunableSince is when this process first saw that the epoch object lists tenures as open that are closed by
	// now, or zero if it lists none.
	prunableSince   clock.Instant
	entryEpochCache cachedEntryEpoch
	// disabled are the rules that a test has turned off to check that its oracle detects this.
	disabled disabledRules
}

// disabledRules lists the safety rules that a test can turn off. Production code never sets one.
type disabledRules struct {
	// leaseStartsAtSend: a lease counts from the time at which its request was sent, not from the receipt of a grant.
	leaseStartsAtSend bool
	// grantNewestEpochOnly: a witness grants only under the newest epoch that it knows.
	grantNewestEpochOnly bool
	// waitForEarlierEpochs: an entry waits until the open tenures of earlier epochs are closed.
	waitForEarlierEpochs bool
	// checkTarget: a process grants only what is addressed to one of its own members, and replies as its current one.
	checkTarget bool
	// assumeGrantsBeforeStart: a process assumes that earlier ones on its address granted leases until its start.
	assumeGrantsBeforeStart bool
	// oneHolderPerLease: a witness grants a lease to one holder at a time.
	oneHolderPerLease bool
	// reportDeputyGrants: a witness reports how long its grants to deputies can still be valid.
	reportDeputyGrants bool
}

// cachedEntryEpoch caches the epoch that is sent to the entry. It is valid as long as the entry uses the epoch in the
// field source and the tenures have not changed, that is, changeCount equals that of the tenure tracker.
type cachedEntryEpoch struct {
	source      *wire.Epoch
	changeCount int
	epoch       *wire.Epoch
}

func newCore(now clock.Instant) *core {
	return &core{
		witness: witness.New(now), ownKeys: map[lease.Key]bool{}, epoch: &wire.Epoch{}, entryEpoch: &wire.Epoch{},
		adoptedAt: now, pendingRenewals: map[uint64]pendingRenewal{}, members: map[lease.Key]*wire.Member{},
		tenures:  newTenureTracker(),
		detector: newFailureDetector(), joinRequests: map[lease.Key]joinRequest{}, deputyLeases: map[lease.Key]*deputyLease{},
		announcedDeputies: map[lease.Key]announcedDeputy{}, deputyRetryAt: map[lease.Key]clock.Instant{},
	}
}

// start makes this process the given new member, which replaces the one it was before.
func (c *core) start(self *wire.Member) {
	c.self = self
	c.key = lease.KeyOf(self)
	c.ownKeys[c.key] = true
	c.leaving, c.entryDetached = false, false
	c.awaitingStatusSince = 0
	c.appliedEpoch, c.closedBefore, c.announcedClosedBefore = 0, 0, 0
	c.appliedVersion = 0
	clear(c.deputyLeases)
	c.joinState = joinState{}
	c.holder = nil
	c.startLease()
	c.entryEpoch, c.entryHolder = c.epoch, c.holder
}

// leave starts the removal of this member from the epoch.
func (c *core) leave() {
	c.leaving = true
}

// detach stops the lease renewals and leaves the epoch, because the entry process has ended or can't be reached.
func (c *core) detach() {
	c.entryDetached = true
	c.leaving = true
}

// shouldLeave reports whether this member should be out of the epoch: it is leaving, or its entry doesn't report
// renewed leases and so may be paused.
func (c *core) shouldLeave(now clock.Instant) bool {
	return c.leaving ||
		c.awaitingStatusSince != 0 && now.Sub(max(c.awaitingStatusSince, c.detector.resumedAt)) > unresponsiveEntryTimeout
}

// statusOverdue reports whether the entry is so late to report that it applied a renewed lease that the next renewal
// has to wait for this report. The lease of an entry that hangs then ends sooner; an entry that is only late still has
// its current lease.
func (c *core) statusOverdue(now clock.Instant) bool {
	return c.awaitingStatusSince != 0 && now.Sub(max(c.awaitingStatusSince, c.detector.resumedAt)) > lateStatusTimeout
}

// hasLeft reports whether this member has left: the newest epoch doesn't list it, its entry uses that epoch, and all
// its tenures are closed.
func (c *core) hasLeft() bool {
	return c.leaving && !c.isMember() && c.closedBefore >= c.epoch.GetNumber()
}

// adopt switches to an epoch unless a newer one is known.
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
	clear(c.deputyLeases)
	clear(c.announcedDeputies)
	clear(c.deputyRetryAt)
	c.startLease()
	if c.self != nil && !c.isMember() {
		c.joinState.backOff(now)
	}
	c.selectEntryEpoch(now)
}

// startLease resets the lease state for the newest epoch.
func (c *core) startLease() {
	c.holder = nil
	if c.isMember() {
		c.holder = lease.NewHolder(c.key, c.epoch)
	}
	c.renewedAt = 0
	c.questionsSentAt = 0
}

func (c *core) isMember() bool {
	return c.self != nil && hasMember(c.epoch, c.self.GetId())
}

// selectEntryEpoch switches the entry to the newest epoch as soon as this doesn't interrupt a valid lease.
func (c *core) selectEntryEpoch(now clock.Instant) {
	if c.entryEpoch == c.epoch {
		return
	}
	leaseValid := c.entryHolder != nil && c.entryHolder.ExpiresAt() > now
	sameNumber := c.entryEpoch.GetNumber() == c.epoch.GetNumber()
	earlierClosed := c.tenures.closedBefore(c.key, c.epoch.GetNumber()) == c.epoch.GetNumber()
	if !leaseValid || sameNumber || c.holder == nil || earlierClosed && c.holder.ExpiresAt() > now {
		c.entryEpoch, c.entryHolder = c.epoch, c.holder
	}
}

// noteApplied records the epoch and the configuration version that the entry uses. It returns frames that tell the
// other members of newly closed tenures.
func (c *core) noteApplied(now clock.Instant, epoch uint64, v ident.Version) []packet {
	c.appliedVersion = v
	c.awaitingStatusSince = 0
	c.appliedEpoch = max(c.appliedEpoch, epoch)
	return c.updateClosedTenures(now)
}

// updateClosedTenures recomputes which tenures of this member are closed. If more are closed than before, it returns
// frames that tell the other members so.
func (c *core) updateClosedTenures(now clock.Instant) []packet {
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

// learnVersion records the newest configuration version that this process knows.
func (c *core) learnVersion(now clock.Instant, v ident.Version) {
	c.newestVersion = max(c.newestVersion, v)
	c.witness.LearnVersion(now, v)
}

// announceHeader returns a frame without a body for every other member. Its header has the newest epoch and
// the newest configuration version that this member knows, and the epoch before which all its tenures are closed.
func (c *core) announceHeader() []packet {
	var r []packet
	for _, m := range c.epoch.GetMembers() {
		if c.self != nil && m.GetId() != c.self.GetId() {
			r = append(r, c.packetTo(m, &wire.Frame{}))
		}
	}
	return r
}

// state returns what the entry has to know. Its epoch is shared and must not be modified.
func (c *core) state(now clock.Instant) State {
	c.selectEntryEpoch(now)
	s := State{
		Self: ident.Member(c.self.GetId()), Newest: ident.Epoch(c.epoch.GetNumber()), Epoch: c.epochForEntry(),
	}
	if c.entryHolder != nil {
		s.LeaseUntil = c.entryHolder.ExpiresAt()
	}
	if c.entryEpoch == c.epoch {
		s.Deputies = c.knownDeputies(now, s.LeaseUntil)
	}
	return s
}

// epochForEntry returns the epoch that the entry uses. Of the tenures that the epoch object lists as open, it keeps
// only those under which another member can still hold a valid lease; the entry has to wait for these.
func (c *core) epochForEntry() *wire.Epoch {
	if c.entryEpochCache.source == c.entryEpoch && c.entryEpochCache.changeCount == c.tenures.changeCount {
		return c.entryEpochCache.epoch
	}
	e := proto.Clone(c.entryEpoch).(*wire.Epoch)
	e.Earlier = filterEarlierEpochs(e, func(epoch uint64, id string) bool {
		return c.tenures.isClosed(epoch, id) || c.tenures.heldByOwnerOnly(epoch, id, c.key)
	})
	if c.disabled.waitForEarlierEpochs {
		e.Earlier = nil
	}
	c.entryEpochCache = cachedEntryEpoch{source: c.entryEpoch, changeCount: c.tenures.changeCount, epoch: e}
	return e
}

// tick runs everything that is due and returns the frames to send.
func (c *core) tick(now clock.Instant) []packet {
	r := c.updateClosedTenures(now)
	r = append(r, c.renewLease(now)...)
	r = append(r, c.renewDeputyLeases(now)...)
	r = append(r, c.askAboutOpenTenures(now)...)
	r = append(r, c.askAboutSilentMembers(now)...)
	r = append(r, c.requestJoin(now)...)
	c.witness.Prune(now, func(k lease.Key) bool { return c.members[k] != nil })
	return r
}

// renewLease requests the lease under the newest epoch from the witnesses: every RenewalInterval, and on each tick
// while there is no valid lease.
func (c *core) renewLease(now clock.Instant) []packet {
	if c.holder == nil || c.entryDetached || (c.statusOverdue(now) && !c.leaving) {
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

// requestLease sends a lease request to all witnesses of a lease. subject is the silent member that the lease belongs
// to, or zero for this member's own lease.
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

// packetTo addresses a frame to a member and sets its header.
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
