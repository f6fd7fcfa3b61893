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
const tick = 50 * time.Millisecond

// entryTimeout is how long an entry may take to report that it took a renewed lease.
const entryTimeout = 750 * time.Millisecond

// reportTimeout is how late an entry's report may be before the next renewal waits for it.
const reportTimeout = 250 * time.Millisecond

// packet is a frame with its destination.
type packet struct {
	to    ident.Address
	frame *wire.Frame
}

// sent is a renewal that waits for grants; subject is the silent member whose lease it asks for, zero for the own one.
type sent struct {
	epoch   uint64
	subject lease.Key
	at      clock.Instant
}

// core decides for one control process, without I/O and clock; its caller serializes all calls.
type core struct {
	witness *witness.Witness
	// mine are the members that this process has been, one for each entry process that connected to it.
	mine map[lease.Key]bool
	self *wire.Member
	key  lease.Key
	// leaving tells that this member wants to be out of the epoch.
	leaving bool
	// detached tells that the entry process is not connected: it may live and use its lease, which is not renewed.
	detached bool

	// unread is when the lease was renewed for the entry to take, and zero when the entry has reported since.
	unread clock.Instant

	// epoch is the newest that is known, adopted its instant, and holder the lease under it, nil for a stranger.
	epoch   *wire.Epoch
	adopted clock.Instant
	holder  *lease.Holder
	// shown is the epoch that the entry uses, with the lease under it: the newest, or the one before it as long as
	// its lease is valid and the one under the newest is not yet granted.
	shown       *wire.Epoch
	shownHolder *lease.Holder

	// inForce and version are what the entry process uses, newest the newest configuration known. The tenures before
	// closed are over, which the others were told up to announced.
	inForce           uint64
	closed, announced uint64
	version           ident.Version
	newest            ident.Version

	sequence uint64
	sent     map[uint64]sent
	renewed  clock.Instant
	asked    clock.Instant
	entrance entrance
	members  map[lease.Key]*wire.Member
	closing  *closing
	suspects *suspects
	// deputies are the silent members whose leases this one asks for, heardDeputies who holds those of others, and rests
	// until when this one doesn't ask.
	deputies      map[lease.Key]*deputy
	heardDeputies map[lease.Key]heardDeputy
	rests         map[lease.Key]clock.Instant
	joiners       map[lease.Key]joiner
	prunable      clock.Instant
	cache         usable
	// flaws are rules that tests remove to see that their oracle notices.
	flaws flaws
}

// flaws names the rules that a test can remove; the product never sets one.
type flaws struct {
	fromReceipt, anyEpoch, noEarlier, anyTarget, noFloor, twoHolders, deputyUntold bool
}

// usable is the epoch that the entry gets, computed from an epoch and the tenures closed so far.
type usable struct {
	from   *wire.Epoch
	closed int
	epoch  *wire.Epoch
}

func newCore(now clock.Instant) *core {
	return &core{
		witness: witness.New(now), mine: map[lease.Key]bool{}, epoch: &wire.Epoch{}, shown: &wire.Epoch{},
		adopted: now, sent: map[uint64]sent{}, members: map[lease.Key]*wire.Member{}, closing: newClosing(),
		suspects: newSuspects(), joiners: map[lease.Key]joiner{}, deputies: map[lease.Key]*deputy{},
		heardDeputies: map[lease.Key]heardDeputy{}, rests: map[lease.Key]clock.Instant{},
	}
}

// start makes this process the given new member, in place of the former one.
func (c *core) start(self *wire.Member) {
	c.self = self
	c.key = lease.KeyOf(self)
	c.mine[c.key] = true
	c.leaving, c.detached = false, false
	c.unread = 0
	c.inForce, c.closed, c.announced = 0, 0, 0
	c.version = 0
	clear(c.deputies)
	c.entrance = entrance{}
	c.holder = nil
	c.hold()
	c.shown, c.shownHolder = c.epoch, c.holder
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
func (c *core) away(now clock.Instant) bool {
	return c.leaving || c.unread != 0 && now.Sub(max(c.unread, c.suspects.resumed)) > entryTimeout
}

// unheard tells whether the entry has not yet reported the last renewal, so that the next one has to wait. The lease of
// an entry that hangs then ends sooner; one that is only late has its lease all the same.
func (c *core) unheard(now clock.Instant) bool {
	return c.unread != 0 && now.Sub(max(c.unread, c.suspects.resumed)) > reportTimeout
}

// left tells whether this member is out of the epoch, its entry uses that epoch, and its tenures are over.
func (c *core) left() bool {
	return c.leaving && !c.isMember() && c.closed >= c.epoch.GetNumber()
}

// adopt takes an epoch unless a newer one is known.
func (c *core) adopt(now clock.Instant, e *wire.Epoch) {
	if e.GetNumber() < c.epoch.GetNumber() {
		return
	}
	newer := e.GetNumber() > c.epoch.GetNumber()
	c.epoch = e
	c.closing.open(e)
	if !newer {
		return
	}
	c.adopted = now
	c.witness.Promise(e.GetNumber())
	clear(c.members)
	for _, m := range e.GetMembers() {
		c.members[lease.KeyOf(m)] = m
	}
	c.suspects.follow(now, c.key, e.GetMembers())
	clear(c.deputies)
	clear(c.heardDeputies)
	clear(c.rests)
	c.hold()
	if c.self != nil && !c.isMember() {
		c.entrance.shut(now)
	}
	c.settle(now)
}

// hold starts a lease under the newest epoch.
func (c *core) hold() {
	c.holder = nil
	if c.isMember() {
		c.holder = lease.NewHolder(c.key, c.epoch)
	}
	c.renewed = 0
	c.asked = 0
}

func (c *core) isMember() bool {
	return c.self != nil && contains(c.epoch, c.self.GetId())
}

// settle decides which epoch the entry is shown: the newest as soon as that interrupts nothing.
func (c *core) settle(now clock.Instant) {
	if c.shown == c.epoch {
		return
	}
	kept := c.shownHolder != nil && c.shownHolder.Until() > now
	same := c.shown.GetNumber() == c.epoch.GetNumber()
	own := c.closing.closedBefore(c.key, c.epoch.GetNumber()) == c.epoch.GetNumber()
	if !kept || same || c.holder == nil || own && c.holder.Until() > now {
		c.shown, c.shownHolder = c.epoch, c.holder
	}
}

// enforce notes which epoch and configuration the entry process uses, and tells the others of a new epoch.
func (c *core) enforce(now clock.Instant, epoch uint64, v ident.Version) []packet {
	c.version = v
	c.unread = 0
	c.inForce = max(c.inForce, epoch)
	return c.settleClosed(now)
}

// settleClosed decides which tenures of this member are over, and tells the others.
func (c *core) settleClosed(now clock.Instant) []packet {
	c.closing.settle(now, c.key)
	c.closed = max(c.closed, c.closing.closedBefore(c.key, c.inForce))
	c.closing.says(c.key, c.closed)
	c.settle(now)
	if c.closed <= c.announced {
		return nil
	}
	c.announced = c.closed
	return c.announce()
}

// learn notes the newest configuration that this process knows.
func (c *core) learn(now clock.Instant, v ident.Version) {
	c.newest = max(c.newest, v)
	c.witness.Learn(now, v)
}

// announce tells every other member the epoch and the configuration of this one.
func (c *core) announce() []packet {
	var r []packet
	for _, m := range c.epoch.GetMembers() {
		if c.self != nil && m.GetId() != c.self.GetId() {
			r = append(r, c.packet(m, &wire.Frame{}))
		}
	}
	return r
}

// state returns what the entry has to know; its epoch is shared and must not be changed.
func (c *core) state(now clock.Instant) State {
	c.settle(now)
	s := State{
		Self: ident.Member(c.self.GetId()), Newest: ident.Epoch(c.epoch.GetNumber()), Epoch: c.usable(),
	}
	if c.shownHolder != nil {
		s.LeaseUntil = c.shownHolder.Until()
	}
	if c.shown == c.epoch {
		s.Deputies = c.allDeputies(now, s.LeaseUntil)
	}
	return s
}

// usable returns the shown epoch with only those tenures open that can still be valid.
func (c *core) usable() *wire.Epoch {
	if c.cache.from == c.shown && c.cache.closed == c.closing.closed {
		return c.cache.epoch
	}
	e := proto.Clone(c.shown).(*wire.Epoch)
	e.Earlier = prune(e, func(epoch uint64, id string) bool {
		return c.closing.isClosed(epoch, id) || c.closing.ownOnly(epoch, id, c.key)
	})
	if c.flaws.noEarlier {
		e.Earlier = nil
	}
	c.cache = usable{from: c.shown, closed: c.closing.closed, epoch: e}
	return e
}

// tick does what is due and returns what is to be sent.
func (c *core) tick(now clock.Instant) []packet {
	r := c.settleClosed(now)
	r = append(r, c.renew(now)...)
	r = append(r, c.deputise(now)...)
	r = append(r, c.askOpen(now)...)
	r = append(r, c.suspect(now)...)
	r = append(r, c.knock(now)...)
	c.witness.Forget(now, func(k lease.Key) bool { return c.members[k] != nil })
	return r
}

// renew asks the witnesses for the lease under the newest epoch, sooner when there is none yet.
func (c *core) renew(now clock.Instant) []packet {
	if c.holder == nil || c.detached || (c.unheard(now) && !c.leaving) {
		return nil
	}
	p := lease.Renewal
	if c.holder.Until() <= now {
		p = tick
	}
	if now.Sub(c.renewed) < p {
		return nil
	}
	c.renewed = now
	for s, q := range c.sent {
		if now.Sub(q.at) > lease.Term {
			delete(c.sent, s)
		}
	}
	return c.ask(now, c.holder, 0)
}

// ask asks the witnesses of a lease for its renewal; subject is the silent member whose it is, zero for the own one.
func (c *core) ask(now clock.Instant, h *lease.Holder, subject lease.Key) []packet {
	c.sequence++
	c.sent[c.sequence] = sent{epoch: h.Epoch, subject: subject, at: now}
	var r []packet
	for _, m := range h.Witnesses {
		q := &wire.LeaseRequest{Sequence: c.sequence, Version: uint64(c.version), Subject: uint64(subject)}
		r = append(r, c.packet(m, &wire.Frame{Body: &wire.Frame_Request{Request: q}}))
	}
	return r
}

// packet fills in the header of a frame to a member.
func (c *core) packet(m *wire.Member, f *wire.Frame) packet {
	f.Target = uint64(lease.KeyOf(m))
	return packet{to: ident.Address(m.GetWitnessAddress()), frame: c.header(f)}
}

func (c *core) header(f *wire.Frame) *wire.Frame {
	f.Sender = uint64(c.key)
	f.Epoch = c.witness.Promised()
	f.Closed = c.closed
	f.Version = uint64(c.newest)
	return f
}

func contains(e *wire.Epoch, id string) bool {
	for _, m := range e.GetMembers() {
		if m.GetId() == id {
			return true
		}
	}
	return false
}
