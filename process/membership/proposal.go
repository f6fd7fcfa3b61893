package membership

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/lease"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/wire"
)

// Limits on the size of the epoch object.
const (
	// maxEarlierEpochs bounds the earlier epochs with open tenures. While the limit is reached the members don't change.
	maxEarlierEpochs = 8
	// maxPastEpochs bounds the past epochs whose members may hold records of idempotency keys.
	maxPastEpochs = 8
)

// The delays before closed tenures are removed from the epoch object: pruneAllDelay when all tenures that it lists are
// closed, else prunePartDelay. The members take turns: pruneAllDelay times the member's position in the epoch is added.
const (
	pruneAllDelay  = 200 * time.Millisecond
	prunePartDelay = 2 * time.Second
)

// propose returns the epoch that this process should write in place of the newest one, or nil if no update is due.
func (c *core) propose(now clock.Instant, wall time.Time) *wire.Epoch {
	if c.self == nil {
		return nil
	}
	members := c.desiredMembers(now)
	if members == nil && !c.pruneDue(now) {
		return nil
	}
	n := proto.Clone(c.epoch).(*wire.Epoch)
	n.Earlier = filterEarlierEpochs(c.epoch, c.tenures.isClosed)
	if members == nil {
		return n
	}
	if len(n.Earlier) >= maxEarlierEpochs {
		return nil
	}
	if n.Number > 0 && len(n.Members) > 0 {
		e := &wire.EarlierEpoch{Number: n.Number, Members: n.Members}
		for _, m := range n.Members {
			e.Open = append(e.Open, m.GetId())
		}
		n.Earlier = append(n.Earlier, e)
		addPastEpoch(n, wall)
	}
	n.Number++
	n.Members = members
	return n
}

// desiredMembers returns the members that the epoch should have, or nil if it has exactly these.
func (c *core) desiredMembers(now clock.Instant) []*wire.Member {
	added := c.membersToAdd(now)
	var r []*wire.Member
	changed := len(added) > 0
	for _, m := range c.epoch.GetMembers() {
		if c.shouldRemove(now, m, added) {
			changed = true
			continue
		}
		r = append(r, m)
	}
	if !changed {
		return nil
	}
	r = append(r, added...)
	slices.SortFunc(r, func(a, b *wire.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
	if r == nil {
		r = []*wire.Member{}
	}
	return r
}

// shouldRemove reports whether a member is leaving, is dead, or is replaced by a new member on its VM.
func (c *core) shouldRemove(now clock.Instant, m *wire.Member, added []*wire.Member) bool {
	if m.GetId() == c.self.GetId() {
		return c.shouldLeave(now)
	}
	for _, a := range added {
		if a.GetVm() == m.GetVm() {
			return true
		}
	}
	return c.isMember() && c.shouldProposeRemoval(now, lease.KeyOf(m))
}

// pruneDue reports whether this member should remove closed tenures from the epoch object now.
func (c *core) pruneDue(now clock.Instant) bool {
	i := slices.IndexFunc(c.epoch.GetMembers(), func(m *wire.Member) bool { return m.GetId() == c.self.GetId() })
	open, listed := c.tenures.countOpen(), countListedOpen(c.epoch)
	if i < 0 || open == listed {
		c.prunableSince = 0
		return false
	}
	if c.prunableSince == 0 {
		c.prunableSince = now
	}
	p := pruneAllDelay
	if open > 0 {
		p = prunePartDelay
	}
	return now.Sub(c.prunableSince) >= p+time.Duration(i)*pruneAllDelay
}

// addPastEpoch records that the epoch ends. Its members may hold records of idempotency keys until the key retention
// has passed.
func addPastEpoch(n *wire.Epoch, wall time.Time) {
	oldest := wall.Add(-config.DefaultKeyRetention).UnixMilli()
	for len(n.Past) > 0 && n.Past[0].GetEndedUnixMs() < oldest {
		dropOldestPastEpoch(n)
	}
	n.Past = append(n.Past, &wire.PastEpoch{
		Number: n.GetNumber(), Members: n.GetMembers(), EndedUnixMs: wall.UnixMilli(),
	})
	for len(n.Past) > maxPastEpochs {
		dropOldestPastEpoch(n)
	}
}

// dropOldestPastEpoch drops the oldest past epoch and records its end in PastCut, because a service may retain keys for
// longer than past epochs are kept.
func dropOldestPastEpoch(n *wire.Epoch) {
	n.PastCut = max(n.PastCut, n.Past[0].GetEndedUnixMs())
	n.Past = n.Past[1:]
}

func countListedOpen(e *wire.Epoch) int {
	n := 0
	for _, l := range e.GetEarlier() {
		n += len(l.GetOpen())
	}
	return n
}
