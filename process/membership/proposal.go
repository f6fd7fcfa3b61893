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

// The bounds of the epoch object.
const (
	// maxEarlier bounds the epochs that are not yet closed; the members don't change beyond it.
	maxEarlierEpochs = 8
	// maxPast bounds the epochs whose members may hold records of idempotency keys.
	maxPastEpochs = 8
)

// The pauses before closed tenures are taken out of the object, to be multiplied by a member's place.
const (
	pruneAllDelay  = 200 * time.Millisecond
	prunePartDelay = 2 * time.Second
)

// propose returns the epoch that this process should write in place of the newest one, or nil.
func (c *core) propose(now clock.Instant, wall time.Time) *wire.Epoch {
	if c.self == nil {
		return nil
	}
	members := c.desiredMembers(now)
	if members == nil && !c.pruneDue(now) {
		return nil
	}
	n := proto.Clone(c.epoch).(*wire.Epoch)
	n.Earlier = openEarlierEpochs(c.epoch, c.tenures.isClosed)
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

// wanted returns the members as they should be, or nil when they are so already.
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

// unwanted tells whether a member leaves, is dead, or has a successor on its VM.
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

// pruneDue tells whether it is this member's turn to write which tenures are closed.
func (c *core) pruneDue(now clock.Instant) bool {
	i := slices.IndexFunc(c.epoch.GetMembers(), func(m *wire.Member) bool { return m.GetId() == c.self.GetId() })
	open, listed := c.tenures.openCount(), listedOpenCount(c.epoch)
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

// addPast notes that the epoch ends; its members may hold records of idempotency keys for the retention.
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

// dropPast drops the oldest past epoch; a service may retain keys for longer than past epochs are remembered.
func dropOldestPastEpoch(n *wire.Epoch) {
	n.PastCut = max(n.PastCut, n.Past[0].GetEndedUnixMs())
	n.Past = n.Past[1:]
}

func listedOpenCount(e *wire.Epoch) int {
	n := 0
	for _, l := range e.GetEarlier() {
		n += len(l.GetOpen())
	}
	return n
}
