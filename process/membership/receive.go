package membership

import (
	"cmp"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/lease"
	"github.com/amaranthramp/amaranthramp/wire"
)

// receive handles a frame and returns the replies to it.
func (c *core) receive(now clock.Instant, from ident.Address, f *wire.Frame) []packet {
	k := lease.Key(f.GetSender())
	c.witness.NoteAlive(now, k)
	c.tenures.noteClosedByOwner(k, f.GetClosed())
	switch b := f.GetBody().(type) {
	case *wire.Frame_Request:
		return c.handleLeaseRequest(now, from, f, b.Request)
	case *wire.Frame_Grant:
		c.handleGrant(now, f, b.Grant)
	case *wire.Frame_Question:
		return c.handleQuestion(now, from, f, b.Question)
	case *wire.Frame_Report:
		c.handleReport(now, b.Report)
	case *wire.Frame_Join:
		c.noteJoinRequest(now, b.Join)
	case *wire.Frame_Deputy:
		c.noteDeputyAnnouncement(now, f, lease.Key(b.Deputy.GetSubject()))
	}
	return nil
}

// handleLeaseRequest grants a lease or replies with an empty frame, whose header shows why the lease was not granted.
func (c *core) handleLeaseRequest(now clock.Instant, from ident.Address, f *wire.Frame, q *wire.LeaseRequest) []packet {
	e := f.GetEpoch()
	if c.disabled.grantNewestEpochOnly {
		e = c.witness.PromisedEpoch()
	}
	holder := lease.Key(f.GetSender())
	subject := cmp.Or(lease.Key(q.GetSubject()), holder)
	addressed := c.ownKeys[lease.Key(f.GetTarget())] || c.disabled.checkTarget
	// A member that is not silent needs no deputy.
	needed := subject == holder || c.silenceOf(now, subject) >= quorumSilenceTimeout
	if c.disabled.oneHolderPerLease {
		holder = subject
	}
	if !addressed || !needed || !c.witness.TryGrant(now, subject, holder, e, ident.Version(q.GetVersion())) {
		return []packet{c.reply(from, f, &wire.Frame{})}
	}
	g := &wire.LeaseGrant{Sequence: q.GetSequence()}
	return []packet{c.reply(from, f, &wire.Frame{Body: &wire.Frame_Grant{Grant: g}})}
}

// handleGrant records a grant. The lease term counts from the time at which the request was sent, not from the receipt
// of the grant.
func (c *core) handleGrant(now clock.Instant, f *wire.Frame, g *wire.LeaseGrant) {
	s, ok := c.pendingRenewals[g.GetSequence()]
	h := c.holder
	if d := c.deputyLeases[s.subject]; s.subject != 0 {
		h = d.leaseHolder()
	}
	if !ok || h == nil || s.epoch != h.Epoch || f.GetTarget() != uint64(c.key) {
		return
	}
	if c.disabled.leaseStartsAtSend {
		s.sentAt = now
	}
	u := h.ExpiresAt()
	h.AddGrant(lease.Key(f.GetSender()), s.sentAt)
	if c.awaitingStatusSince == 0 && h.ExpiresAt() > u {
		c.awaitingStatusSince = now
	}
	c.selectEntryEpoch(now)
}

// handleQuestion answers a question about a member, the subject, with a report to the sender: how long this process's
// grants of the subject's lease can still be valid, and how long the subject has been silent. A question that is
// addressed to an earlier process at this address is answered too, since that process has ended.
func (c *core) handleQuestion(now clock.Instant, from ident.Address, f *wire.Frame, q *wire.Question) []packet {
	k := lease.Key(q.GetSubject())
	r := &wire.Report{
		Witness: f.GetTarget(), Subject: q.GetSubject(), Epoch: q.GetEpoch(),
		Past:        c.witness.PromisedEpoch() > q.GetEpoch() || !c.ownKeys[lease.Key(f.GetTarget())],
		RemainingMs: ceilMs(c.witness.Remaining(now, k)),
		SilentMs:    uint32(c.silenceOf(now, k).Milliseconds()),
		DeputyMs:    ceilMs(c.witness.DeputyRemaining(now, k)),
	}
	if !c.ownKeys[lease.Key(f.GetTarget())] {
		// An earlier process may have granted the lease to a deputy, so any of its grants may be one to a deputy.
		r.DeputyMs = r.RemainingMs
	}
	if c.disabled.reportDeputyGrants {
		r.DeputyMs = 0
	}
	if c.disabled.assumeGrantsBeforeStart && !c.ownKeys[lease.Key(f.GetTarget())] {
		r.RemainingMs = 0
	}
	return []packet{c.reply(from, f, &wire.Frame{Body: &wire.Frame_Report{Report: r}})}
}

func (c *core) handleReport(now clock.Instant, r *wire.Report) {
	c.detector.addReport(now, r)
	if r.GetPast() {
		c.tenures.noteWitnessReport(now, r)
	}
}

// reply returns a frame to the sender of q. It is sent as the current member, whichever member q was addressed to.
func (c *core) reply(to ident.Address, q, f *wire.Frame) packet {
	f.Target = q.GetSender()
	c.setHeader(f)
	if c.disabled.checkTarget {
		f.Sender = q.GetTarget()
	}
	return packet{to: to, frame: f}
}

func ceilMs(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
