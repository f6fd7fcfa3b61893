package membership

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/lease"
	"github.com/amaranthramp/amaranthramp/wire"
)

// How a member joins: it asks some members to add it, so that those that start together join in one update.
const (
	// knockPause is the pause between two requests to be added.
	joinRequestInterval = 100 * time.Millisecond
	// gather is how long a member collects others that want to join.
	joinBatchDelay = 100 * time.Millisecond
	// joinAlone is how long a member waits for others to add it before it does so itself.
	selfJoinDelay = 5 * time.Second
	// joinAgain is that wait after the epoch changed without this member: others live then, and would take a member
	// that they don't hear out again.
	selfRejoinDelay = 30 * time.Second
	// maxJoinAlone bounds the wait, which doubles each time.
	maxSelfJoinDelay = 5 * time.Minute
	// joinerAge is how long a request to be added counts.
	joinRequestTTL = 500 * time.Millisecond
	// maxJoiners bounds those that are collected.
	maxJoinRequests = 1000
)

// joiner is a member that asked to be added.
type joinRequest struct {
	member      *wire.Member
	first, last clock.Instant
}

// entrance is how far this member has come in joining.
type joinState struct {
	startedAt     clock.Instant
	requestedAt   clock.Instant
	selfJoinDelay time.Duration
}

// shut notes that the epoch changed and this member is not in it.
func (e *joinState) backOff(now clock.Instant) {
	e.startedAt = now
	e.selfJoinDelay = min(max(selfRejoinDelay, 2*e.selfJoinDelay), maxSelfJoinDelay)
}

// knock asks members to add this one.
func (c *core) requestJoin(now clock.Instant) []packet {
	if c.self == nil || c.shouldLeave(now) || c.isMember() {
		c.joinState.startedAt = 0
		return nil
	}
	e := &c.joinState
	if e.startedAt == 0 {
		e.startedAt = now
		e.selfJoinDelay = max(e.selfJoinDelay, selfJoinDelay)
	}
	if now.Sub(e.requestedAt) < joinRequestInterval {
		return nil
	}
	e.requestedAt = now
	var r []packet
	for _, m := range lease.Witnesses(c.key, c.epoch.GetMembers()) {
		r = append(r, c.packetTo(m, &wire.Frame{Body: &wire.Frame_Join{Join: c.self}}))
	}
	return r
}

// join notes that a member wants to be added; an incomplete one is ignored.
func (c *core) noteJoinRequest(now clock.Instant, m *wire.Member) {
	if m.GetId() == "" || m.GetVm() == "" || m.GetWitnessAddress() == "" {
		return
	}
	k := lease.KeyOf(m)
	j, ok := c.joinRequests[k]
	if !ok && len(c.joinRequests) >= maxJoinRequests {
		return
	}
	if !ok || now.Sub(j.last) > joinRequestTTL {
		j = joinRequest{member: m, first: now}
	}
	j.last = now
	c.joinRequests[k] = j
}

// joining returns the members that this one should add to the epoch now, or nil while others may follow.
func (c *core) membersToAdd(now clock.Instant) []*wire.Member {
	if !c.isMember() {
		return c.selfToAdd(now)
	}
	var r []*wire.Member
	due := false
	for k, j := range c.joinRequests {
		if now.Sub(j.last) > joinRequestTTL || c.members[k] != nil {
			delete(c.joinRequests, k)
			continue
		}
		r = append(r, j.member)
		due = due || now.Sub(j.first) >= joinBatchDelay+c.joinStagger(k)
	}
	if !due {
		return nil
	}
	return r
}

// joinSelf adds this member to an epoch without members at once, and to another one when nobody else did.
func (c *core) selfToAdd(now clock.Instant) []*wire.Member {
	s := c.joinState.startedAt
	if c.shouldLeave(now) || s == 0 || (len(c.epoch.GetMembers()) > 0 && now.Sub(s) < c.joinState.selfJoinDelay) {
		return nil
	}
	return []*wire.Member{c.self}
}

// turnFor spreads the members that a joiner asked, so that one of them acts first.
func (c *core) joinStagger(joiner lease.Key) time.Duration {
	for i, m := range lease.Witnesses(joiner, c.epoch.GetMembers()) {
		if lease.KeyOf(m) == c.key {
			return time.Duration(i) * proposalStagger
		}
	}
	return selfJoinDelay
}
