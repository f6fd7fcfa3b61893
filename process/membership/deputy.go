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

// A deputy holds the lease of a dead member whose removal can't be written, since the platform is away. It needs the
// grants of a quorum of the dead member's witnesses under the same epoch, each of which grants a lease to one holder at
// a time; so the lease of a tenure has one holder at most, and rule 5 of docs/design/membership.md closes it all the
// same. It asks once the dead member's own lease has run out: all witnesses are free then.
const (
	// deputyAfter is how long a member is silent before a deputy asks for its lease, which has run out by then: a second
	// after it could be removed, and a second before its shards are to be served again.
	deputyDelay = 2 * quorumSilenceTimeout
	// deputyTurn is the pause by which the witnesses of one member ask for its lease one after another: time for three
	// requests to each of the others, so that the first has a quorum before the next one asks.
	deputyStagger = 150 * time.Millisecond
	// deputyPatience is how long a deputy asks without a quorum before it leaves the lease to others.
	deputyQuorumTimeout = time.Second
	// deputyHeard is how long a deputy counts after it was last heard, three announcements.
	deputyAnnouncementTTL = 3 * lease.RenewalInterval
)

// deputy is this member's hold on the lease of a silent one.
type deputy struct {
	holder *lease.Holder
	// since is when the lease was first asked for, asked and told when it was last asked for and last announced.
	startedAt, requestedAt, announcedAt clock.Instant
}

// holderOf returns the lease of a deputy, nil without one.
func (d *deputy) leaseHolder() *lease.Holder {
	if d == nil {
		return nil
	}
	return d.holder
}

// heardDeputy is another member that holds the lease of a silent one.
type announcedDeputy struct {
	by ident.Member
	at clock.Instant
}

// deputise asks for the leases of dead members that are still in the epoch, and announces those that it got.
func (c *core) renewDeputyLeases(now clock.Instant) []packet {
	if c.holder == nil || c.holder.ExpiresAt() <= now || c.shouldLeave(now) || c.reportOverdue(now) {
		return nil
	}
	var r []packet
	for _, m := range c.epoch.GetMembers() {
		k := lease.KeyOf(m)
		if c.silenceOf(now, k) < quorumSilenceTimeout {
			delete(c.deputies, k)
			continue
		}
		if d := c.deputyLeaseOf(now, k); d != nil {
			r = append(r, c.renewDeputyLease(now, d, k)...)
		}
	}
	return r
}

// deputyOf returns this member's hold on the lease of a silent one, a new one when it is time for it; nil without one.
func (c *core) deputyLeaseOf(now clock.Instant, k lease.Key) *deputy {
	if d := c.deputies[k]; d != nil {
		if d.holder.ExpiresAt() <= now && now.Sub(d.startedAt) > deputyQuorumTimeout {
			// Another member may have the grants of some witnesses; both have to let go of theirs.
			delete(c.deputies, k)
			c.deputyRetryAt[k] = now.Add(lease.AllowClockDrift(lease.Term) + c.deputyStaggerOf(k))
			return nil
		}
		return d
	}
	if c.silenceOf(now, k) < deputyDelay+c.deputyStaggerOf(k) || now < c.deputyRetryAt[k] || !c.shouldProposeRemoval(now, k) ||
		c.isDeputyAnnounced(now, k) {
		return nil
	}
	d := &deputy{holder: lease.NewHolder(k, c.epoch), startedAt: now}
	c.deputies[k] = d
	return d
}

// deputyWait is this member's turn among the witnesses of a silent one.
func (c *core) deputyStaggerOf(k lease.Key) time.Duration {
	l := lease.Witnesses(k, c.epoch.GetMembers())
	i := slices.IndexFunc(l, func(m *wire.Member) bool { return lease.KeyOf(m) == c.key })
	return time.Duration(i) * deputyStagger
}

// keepDeputy renews a lease, sooner while there is none yet, and announces it.
func (c *core) renewDeputyLease(now clock.Instant, d *deputy, k lease.Key) []packet {
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

// hearDeputy notes who holds the lease of a silent member under the epoch of this one.
func (c *core) noteDeputyAnnouncement(now clock.Instant, f *wire.Frame, subject lease.Key) {
	m := c.members[lease.Key(f.GetSender())]
	if m == nil || c.members[subject] == nil || f.GetEpoch() != c.epoch.GetNumber() {
		return
	}
	c.announcedDeputies[subject] = announcedDeputy{by: ident.Member(m.GetId()), at: now}
}

func (c *core) isDeputyAnnounced(now clock.Instant, k lease.Key) bool {
	h, ok := c.announcedDeputies[k]
	return ok && now.Sub(h.at) < deputyAnnouncementTTL
}

// allDeputies returns the deputies that are known. What others say is only a hint of where to send requests: it doesn't
// count against a lease of this member's own.
func (c *core) knownDeputies(now, leaseUntil clock.Instant) []Deputy {
	var l []Deputy
	for k, h := range c.announcedDeputies {
		if c.isDeputyAnnounced(now, k) && (k != c.key || leaseUntil <= now) && c.deputies[k] == nil {
			l = append(l, Deputy{Of: ident.Member(c.members[k].GetId()), By: h.by})
		}
	}
	for k, d := range c.deputies {
		if u := d.holder.ExpiresAt(); u > now {
			l = append(l, Deputy{Of: ident.Member(c.members[k].GetId()), By: ident.Member(c.self.GetId()), LeaseUntil: u})
		}
	}
	slices.SortFunc(l, func(a, b Deputy) int { return cmp.Compare(a.Of, b.Of) })
	return l
}
