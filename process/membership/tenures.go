package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/lease"
	"github.com/amaranthramp/amaranthramp/wire"
)

// tenure is the ownership of shards by one member during one epoch. It is open while a valid lease of the member under
// the epoch can exist, and closed once none can.
type tenure struct {
	epoch uint64
	owner lease.Key
}

// tenureTracker determines which tenures of earlier epochs are closed, that is, have no valid lease any more.
//
// A tenure is closed for good when its owner says so, or when a quorum of its witnesses say that they never again grant
// under its epoch and that their last grants expired: any lease needs the grant of one of these. An owner says so once
// its entry uses a later epoch and a quorum of the witnesses say that no deputy can hold the lease.
type tenureTracker struct {
	// listedTenures lists the tenures that the epoch object lists as open, in the same order. Some may have been closed
	// since.
	listedTenures []tenure
	states        map[tenure]*tenureState
	// changeCount is the number of changes of the tenures so far: a result that was cached at another count is
	// outdated.
	changeCount int
	// ownerClosedBefore is, by member, an epoch. The member announced that all its tenures under earlier epochs are
	// closed.
	ownerClosedBefore map[lease.Key]uint64
}

// tenureState is what is known about one tenure that the epoch object lists as open.
type tenureState struct {
	member    *wire.Member
	witnesses []*wire.Member
	// grantsEnd is, by witness, when the witness's last grant of the member's lease will have expired.
	// deputyGrantsEnd is the same for its grants to deputies only.
	grantsEnd, deputyGrantsEnd map[lease.Key]clock.Instant
	// noDeputy is set once no deputy can hold the lease any more.
	noDeputy, closed bool
}

func newTenureTracker() *tenureTracker {
	return &tenureTracker{states: map[tenure]*tenureState{}, ownerClosedBefore: map[lease.Key]uint64{}}
}

// setEpoch tracks the tenures that the epoch lists as open and drops all others.
func (c *tenureTracker) setEpoch(e *wire.Epoch) {
	old := c.states
	c.states = map[tenure]*tenureState{}
	c.listedTenures = nil
	c.changeCount++
	for _, l := range e.GetEarlier() {
		for _, m := range l.GetMembers() {
			if !isOpen(l, m.GetId()) {
				continue
			}
			t := tenure{epoch: l.GetNumber(), owner: lease.KeyOf(m)}
			c.listedTenures = append(c.listedTenures, t)
			c.states[t] = old[t]
			if old[t] == nil {
				c.states[t] = c.newTenureState(t, m, l.GetMembers())
			}
		}
	}
}

func (c *tenureTracker) newTenureState(t tenure, m *wire.Member, members []*wire.Member) *tenureState {
	return &tenureState{
		member: m, witnesses: lease.Witnesses(t.owner, members), grantsEnd: map[lease.Key]clock.Instant{},
		deputyGrantsEnd: map[lease.Key]clock.Instant{}, closed: c.ownerClosedBefore[t.owner] > t.epoch,
	}
}

// noteClosedByOwner records the announcement of a member that all its tenures under epochs before the given one are
// closed.
func (c *tenureTracker) noteClosedByOwner(k lease.Key, epoch uint64) {
	if epoch <= c.ownerClosedBefore[k] {
		return
	}
	c.ownerClosedBefore[k] = epoch
	for t, p := range c.states {
		if t.owner == k && t.epoch < epoch {
			c.close(p)
		}
	}
}

// noteWitnessReport records that a witness no longer grants under an epoch, and when its last grants will have expired.
func (c *tenureTracker) noteWitnessReport(now clock.Instant, r *wire.Report) {
	p := c.states[tenure{epoch: r.GetEpoch(), owner: lease.Key(r.GetSubject())}]
	w := lease.Key(r.GetWitness())
	if p == nil || !lease.IsWitness(w, p.witnesses) {
		return
	}
	lowerEnd(p.grantsEnd, w, now, r.GetRemainingMs())
	lowerEnd(p.deputyGrantsEnd, w, now, r.GetDeputyMs())
}

func lowerEnd(l map[lease.Key]clock.Instant, w lease.Key, now clock.Instant, ms uint32) {
	i := now.Add(lease.AllowClockDrift(time.Duration(ms) * time.Millisecond))
	if o, ok := l[w]; !ok || i < o {
		l[w] = i
	}
}

// closeExpired closes the tenures for which the grants of a quorum of witnesses have expired. It also records which of
// the member's own tenures no deputy can hold.
func (c *tenureTracker) closeExpired(now clock.Instant, self lease.Key) {
	for t, p := range c.states {
		q := lease.Quorum(len(p.witnesses))
		if countEnded(p.grantsEnd, now) >= q {
			c.close(p)
		}
		if t.owner == self && !p.noDeputy && countEnded(p.deputyGrantsEnd, now) >= q {
			p.noDeputy = true
			c.changeCount++
		}
	}
}

func countEnded(l map[lease.Key]clock.Instant, now clock.Instant) int {
	n := 0
	for _, i := range l {
		if i <= now {
			n++
		}
	}
	return n
}

// closedBefore returns the latest epoch, up to the given one, before which each tenure of the member is closed or has a
// lease that no deputy can hold. If the member's entry uses the given epoch, all these tenures are closed.
func (c *tenureTracker) closedBefore(self lease.Key, epoch uint64) uint64 {
	for t, p := range c.states {
		if t.owner == self && !p.noDeputy && !p.closed {
			epoch = min(epoch, t.epoch)
		}
	}
	return epoch
}

func (c *tenureTracker) close(p *tenureState) {
	if !p.closed {
		p.closed = true
		c.changeCount++
	}
}

// countOpen returns the number of tenures that are still open.
func (c *tenureTracker) countOpen() int {
	n := 0
	for _, p := range c.states {
		if !p.closed {
			n++
		}
	}
	return n
}

// filterEarlierEpochs returns copies of the earlier epochs that e lists, without the tenures for which closed returns
// true. It leaves out an earlier epoch whose tenures are all closed.
func filterEarlierEpochs(e *wire.Epoch, closed func(epoch uint64, id string) bool) []*wire.EarlierEpoch {
	var r []*wire.EarlierEpoch
	for _, l := range e.GetEarlier() {
		n := proto.Clone(l).(*wire.EarlierEpoch)
		n.Open = nil
		for _, id := range l.GetOpen() {
			if !closed(l.GetNumber(), id) {
				n.Open = append(n.Open, id)
			}
		}
		if len(n.Open) > 0 {
			r = append(r, n)
		}
	}
	return r
}

func (c *tenureTracker) isClosed(epoch uint64, id string) bool {
	k := lease.KeyOfID(id)
	p := c.states[tenure{epoch: epoch, owner: k}]
	return c.ownerClosedBefore[k] > epoch || p != nil && p.closed
}

// heldByOwnerOnly reports whether a tenure is the member's own and no deputy can hold its lease.
func (c *tenureTracker) heldByOwnerOnly(epoch uint64, id string, self lease.Key) bool {
	k := lease.KeyOfID(id)
	p := c.states[tenure{epoch: epoch, owner: k}]
	return k == self && p != nil && p.noDeputy
}

func isOpen(l *wire.EarlierEpoch, id string) bool {
	for _, o := range l.GetOpen() {
		if o == id {
			return true
		}
	}
	return false
}
