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
	maxEarlier = 8
	// maxPast bounds the epochs whose members may hold records of idempotency keys.
	maxPast = 8
)

// The pauses before closed tenures are taken out of the object, to be multiplied by a member's place.
const (
	pruneAll  = 200 * time.Millisecond
	prunePart = 2 * time.Second
)

// propose returns the epoch that this process should write in place of the newest one, or nil.
func (c *core) propose(now clock.Instant, wall time.Time) *wire.Epoch {
	if c.self == nil {
		return nil
	}
	members := c.wanted(now)
	if members == nil && !c.pruneDue(now) {
		return nil
	}
	n := proto.Clone(c.epoch).(*wire.Epoch)
	n.Earlier = prune(c.epoch, c.closing.isClosed)
	if members == nil {
		return n
	}
	if len(n.Earlier) >= maxEarlier {
		return nil
	}
	if n.Number > 0 && len(n.Members) > 0 {
		e := &wire.EarlierEpoch{Number: n.Number, Members: n.Members}
		for _, m := range n.Members {
			e.Open = append(e.Open, m.GetId())
		}
		n.Earlier = append(n.Earlier, e)
		addPast(n, wall)
	}
	n.Number++
	n.Members = members
	return n
}

// wanted returns the members as they should be, or nil when they are so already.
func (c *core) wanted(now clock.Instant) []*wire.Member {
	added := c.joining(now)
	var r []*wire.Member
	changed := len(added) > 0
	for _, m := range c.epoch.GetMembers() {
		if c.unwanted(now, m, added) {
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
func (c *core) unwanted(now clock.Instant, m *wire.Member, added []*wire.Member) bool {
	if m.GetId() == c.self.GetId() {
		return c.away(now)
	}
	for _, a := range added {
		if a.GetVm() == m.GetVm() {
			return true
		}
	}
	return c.isMember() && c.dead(now, lease.KeyOf(m))
}

// pruneDue tells whether it is this member's turn to write which tenures are closed.
func (c *core) pruneDue(now clock.Instant) bool {
	i := slices.IndexFunc(c.epoch.GetMembers(), func(m *wire.Member) bool { return m.GetId() == c.self.GetId() })
	open, listed := c.closing.openCount(), openCount(c.epoch)
	if i < 0 || open == listed {
		c.prunable = 0
		return false
	}
	if c.prunable == 0 {
		c.prunable = now
	}
	p := pruneAll
	if open > 0 {
		p = prunePart
	}
	return now.Sub(c.prunable) >= p+time.Duration(i)*pruneAll
}

// addPast notes that the epoch ends; its members may hold records of idempotency keys for the retention.
func addPast(n *wire.Epoch, wall time.Time) {
	oldest := wall.Add(-config.DefaultKeyRetention).UnixMilli()
	for len(n.Past) > 0 && n.Past[0].GetEndedUnixMs() < oldest {
		dropPast(n)
	}
	n.Past = append(n.Past, &wire.PastEpoch{
		Number: n.GetNumber(), Members: n.GetMembers(), EndedUnixMs: wall.UnixMilli(),
	})
	for len(n.Past) > maxPast {
		dropPast(n)
	}
}

// dropPast drops the oldest past epoch; a service may retain keys for longer than past epochs are remembered.
func dropPast(n *wire.Epoch) {
	n.PastCut = max(n.PastCut, n.Past[0].GetEndedUnixMs())
	n.Past = n.Past[1:]
}

func openCount(e *wire.Epoch) int {
	n := 0
	for _, l := range e.GetEarlier() {
		n += len(l.GetOpen())
	}
	return n
}
