package membership

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/lease"
	"github.com/amaranthramp/amaranthramp/wire"
)

// A member joins by asking some members to add it, so that members that start together are added in one update.
const (
	// joinRequestInterval is the time between two join requests of a member.
	joinRequestInterval = 100 * time.Millisecond
	// joinBatchDelay is how long a member collects join requests before it adds the members to the epoch.
	joinBatchDelay = 100 * time.Millisecond
	// selfJoinDelay is how long a member waits to be added by others before it adds itself.
	selfJoinDelay = 5 * time.Second
	// selfRejoinDelay replaces selfJoinDelay after the epoch changed without this member: other members are alive then,
	// and would again remove a member that they don't hear from.
	selfRejoinDelay = 30 * time.Second
	// maxSelfJoinDelay bounds the delay, which doubles with each epoch that the member is not in.
	maxSelfJoinDelay = 5 * time.Minute
	// joinRequestTTL is how long a join request is valid.
	joinRequestTTL = 500 * time.Millisecond
	// maxJoinRequests bounds the join requests that are held.
	maxJoinRequests = 1000
)

// joinRequest is a member that asked to be added, with the times of its first and last request.
type joinRequest struct {
	member          *wire.Member
	firstAt, lastAt clock.Instant
}

// joinState is the progress of this member's own attempt to join: when it started, when members were last asked, and
// how long it waits before it adds itself.
type joinState struct {
	startedAt     clock.Instant
	requestedAt   clock.Instant
	selfJoinDelay time.Duration
}

// backOff records that the epoch changed without this member, and raises the delay before it adds itself.
func (e *joinState) backOff(now clock.Instant) {
	e.startedAt = now
	e.selfJoinDelay = min(max(selfRejoinDelay, 2*e.selfJoinDelay), maxSelfJoinDelay)
}

// requestJoin asks members to add this one to the epoch.
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

// noteJoinRequest records that a member asked to be added. A member with missing fields is ignored.
func (c *core) noteJoinRequest(now clock.Instant, m *wire.Member) {
	if m.GetId() == "" || m.GetVm() == "" || m.GetWitnessAddress() == "" {
		return
	}
	k := lease.KeyOf(m)
	j, ok := c.joinRequests[k]
	if !ok && len(c.joinRequests) >= maxJoinRequests {
		return
	}
	if !ok || now.Sub(j.lastAt) > joinRequestTTL {
		j = joinRequest{member: m, firstAt: now}
	}
	j.lastAt = now
	c.joinRequests[k] = j
}

// membersToAdd returns the members that this one should add to the epoch now, or nil while more join requests may
// follow.
func (c *core) membersToAdd(now clock.Instant) []*wire.Member {
	if !c.isMember() {
		return c.selfToAdd(now)
	}
	var r []*wire.Member
	due := false
	for k, j := range c.joinRequests {
		if now.Sub(j.lastAt) > joinRequestTTL || c.members[k] != nil {
			delete(c.joinRequests, k)
			continue
		}
		r = append(r, j.member)
		due = due || now.Sub(j.firstAt) >= joinBatchDelay+c.joinStagger(k)
	}
	if !due {
		return nil
	}
	return r
}

// selfToAdd returns this member if it should add itself: at once to an epoch without members, else when no other member
// has added it within the delay.
func (c *core) selfToAdd(now clock.Instant) []*wire.Member {
	s := c.joinState.startedAt
	if c.shouldLeave(now) || s == 0 || (len(c.epoch.GetMembers()) > 0 && now.Sub(s) < c.joinState.selfJoinDelay) {
		return nil
	}
	return []*wire.Member{c.self}
}

// joinStagger returns this member's delay in adding a joining member, by its position among the members that were
// asked, so that one of them acts first.
func (c *core) joinStagger(joiner lease.Key) time.Duration {
	for i, m := range lease.Witnesses(joiner, c.epoch.GetMembers()) {
		if lease.KeyOf(m) == c.key {
			return time.Duration(i) * proposalStagger
		}
	}
	return selfJoinDelay
}
