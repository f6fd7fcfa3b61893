package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/lease"
	"github.com/amaranthramp/amaranthramp/wire"
)

// A deputy holds the lease of a dead member that can't be removed from the epoch because the platform is down. It needs
// the grants of a quorum of the dead member's witnesses under the same epoch, and each witness grants a lease to one
// holder at a time. So the lease of a tenure has at most one holder, and the rule that closes a tenure (rule 5 of
// docs/design/membership.md) holds for deputies too. A deputy requests the lease once the dead member's own lease has
// expired, because all witnesses are free to grant it then.
const (
	// deputyDelay is how long a member is silent before a deputy requests its lease, which has expired by then. It is a
	// second after the member could be removed, and a second before its shards have to be served again.
	deputyDelay = 2 * quorumSilenceTimeout
	// deputyStagger is the delay between the witnesses of one member in requesting its lease. It is enough for three
	// requests to each of the other witnesses, so that the first has a quorum before the next one starts.
	deputyStagger = 150 * time.Millisecond
	// deputyQuorumTimeout is how long a deputy requests a lease without a quorum before it leaves the lease to others.
	deputyQuorumTimeout = time.Second
	// deputyAnnouncementTTL is how long a deputy is taken to hold a lease after its last announcement: three announcement
	// intervals.
	deputyAnnouncementTTL = 3 * lease.RenewalInterval
)

// deputyLease is the lease of a silent member that this member requests or holds as its deputy.
type deputyLease struct {
	// holder tracks the grants of the silent member's witnesses to this member.
	holder *lease.Holder
	// startedAt is when the lease was first requested, requestedAt when it was last requested, and announcedAt when it was
	// last announced to the other members.
	startedAt, requestedAt, announcedAt clock.Instant
}

// leaseHolder returns the holder of the lease, or nil if d is nil.
func (d *deputyLease) leaseHolder() *lease.Holder {
	if d == nil {
		return nil
	}
	return d.holder
}

// announcedDeputy is an announcement of another member that it holds the lease of a silent one.
type announcedDeputy struct {
	deputy      ident.Member
	announcedAt clock.Instant
}

// renewDeputyLeases requests the leases of silent members that are still in the epoch, and announces those that this
// member holds.
func (c *core) renewDeputyLeases(now clock.Instant) []packet {
	if c.holder == nil || c.holder.ExpiresAt() <= now || c.shouldLeave(now) || c.statusOverdue(now) {
		return nil
	}
	var r []packet
	for _, m := range c.epoch.GetMembers() {
		k := lease.KeyOf(m)
		if c.silenceOf(now, k) < quorumSilenceTimeout {
			delete(c.deputyLeases, k)
			continue
		}
		if d := c.findOrStartDeputyLease(now, k); d != nil {
			r = append(r, c.renewDeputyLease(now, d, k)...)
		}
	}
	return r
}

// findOrStartDeputyLease returns the lease of a silent member that this member requests or holds as its deputy, or nil
// if there is none. If the member has been silent for long enough and no other deputy is known, it starts to request
// the lease.
func (c *core) findOrStartDeputyLease(now clock.Instant, k lease.Key) *deputyLease {
	if d := c.deputyLeases[k]; d != nil {
		if d.holder.ExpiresAt() <= now && now.Sub(d.startedAt) > deputyQuorumTimeout {
			// Two deputies may each have the grants of some witnesses, and neither a quorum. Both then stop to request the
			// lease, until all these grants have expired and the witnesses are free to grant it to one of them.
			delete(c.deputyLeases, k)
			c.deputyRetryAt[k] = now.Add(lease.AllowClockDrift(lease.Term) + c.deputyStaggerOf(k))
			return nil
		}
		return d
	}
	if c.silenceOf(now, k) < deputyDelay+c.deputyStaggerOf(k) || now < c.deputyRetryAt[k] ||
		!c.shouldProposeRemoval(now, k) || c.isDeputyAnnounced(now, k) {
		return nil
	}
	d := &deputyLease{holder: lease.NewHolder(k, c.epoch), startedAt: now}
	c.deputyLeases[k] = d
	return d
}

// deputyStaggerOf returns this member's delay in requesting a silent member's lease, by its position among the
// witnesses.
func (c *core) deputyStaggerOf(k lease.Key) time.Duration {
	l := lease.Witnesses(k, c.epoch.GetMembers())
	i := slices.IndexFunc(l, func(m *wire.Member) bool { return lease.KeyOf(m) == c.key })
	return time.Duration(i) * deputyStagger
}

// renewDeputyLease requests a lease, on each tick while it is not granted, and announces it once it is held.
func (c *core) renewDeputyLease(now clock.Instant, d *deputyLease, k lease.Key) []packet {
	held := d.holder.ExpiresAt() > now
	var r []packet
	if !held || now.Sub(d.requestedAt) >= lease.RenewalInterval {
		d.requestedAt = now
		r = c.requestLease(now, d.holder, k)
	}
	if held && now.Sub(d.announcedAt) >= lease.RenewalInterval {
		d.announcedAt = now
		for _, m := range c.epoch.GetMembers() {
			if m.GetId() != c.self.GetId() {
				r = append(r, c.packetTo(m, &wire.Frame{Body: &wire.Frame_Deputy{Deputy: &wire.Deputy{Subject: uint64(k)}}}))
			}
		}
	}
	return r
}

// noteDeputyAnnouncement records which member holds the lease of a silent member under the current epoch.
func (c *core) noteDeputyAnnouncement(now clock.Instant, f *wire.Frame, subject lease.Key) {
	m := c.members[lease.Key(f.GetSender())]
	if m == nil || c.members[subject] == nil || f.GetEpoch() != c.epoch.GetNumber() {
		return
	}
	c.announcedDeputies[subject] = announcedDeputy{deputy: ident.Member(m.GetId()), announcedAt: now}
}

func (c *core) isDeputyAnnounced(now clock.Instant, k lease.Key) bool {
	h, ok := c.announcedDeputies[k]
	return ok && now.Sub(h.announcedAt) < deputyAnnouncementTTL
}

// knownDeputies returns all known deputies. The announcements of others only hint at where to send requests: they don't
// override a valid lease of this member.
func (c *core) knownDeputies(now, leaseUntil clock.Instant) []Deputy {
	var l []Deputy
	for k, h := range c.announcedDeputies {
		if c.isDeputyAnnounced(now, k) && (k != c.key || leaseUntil <= now) && c.deputyLeases[k] == nil {
			l = append(l, Deputy{Of: ident.Member(c.members[k].GetId()), By: h.deputy})
		}
	}
	for k, d := range c.deputyLeases {
		if u := d.holder.ExpiresAt(); u > now {
			l = append(l, Deputy{Of: ident.Member(c.members[k].GetId()), By: ident.Member(c.self.GetId()), LeaseUntil: u})
		}
	}
	slices.SortFunc(l, func(a, b Deputy) int { return cmp.Compare(a.Of, b.Of) })
	return l
}
