package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/lease"
	"github.com/amaranthramp/amaranthramp/wire"
)

// tenure is one owner under one epoch.
type tenure struct {
	epoch uint64
	owner lease.Key
}

// closing finds out which tenures of earlier epochs can't hold a valid lease any more.
//
// A tenure is closed for good when its owner says so, or when a quorum of its witnesses say that they never again grant
// under its epoch and that their last grants ran out: any lease needs the grant of one of these. An owner says so once
// its entry uses a later epoch and a quorum of the witnesses say that no deputy can hold the lease.
type closing struct {
	// order are the open tenures as the epoch lists them.
	order   []tenure
	tenures map[tenure]*progress
	// closed counts what was closed, so that users know when to look again.
	closed int
	// said are the epochs before which members said that their tenures are closed.
	said map[lease.Key]uint64
}

// progress is what is known of one open tenure.
type progress struct {
	member    *wire.Member
	witnesses []*wire.Member
	// over are the instants from which a witness's grants have run out, by witness, and free those from which its grants
	// to deputies have.
	over, free map[lease.Key]clock.Instant
	// own tells that no deputy can hold the lease any more.
	own, closed bool
}

func newClosing() *closing {
	return &closing{tenures: map[tenure]*progress{}, said: map[lease.Key]uint64{}}
}

// open follows the tenures that the epoch lists as open and forgets all others.
func (c *closing) open(e *wire.Epoch) {
	old := c.tenures
	c.tenures = map[tenure]*progress{}
	c.order = nil
	c.closed++
	for _, l := range e.GetEarlier() {
		for _, m := range l.GetMembers() {
			if !isOpen(l, m.GetId()) {
				continue
			}
			t := tenure{epoch: l.GetNumber(), owner: lease.KeyOf(m)}
			c.order = append(c.order, t)
			c.tenures[t] = old[t]
			if old[t] == nil {
				c.tenures[t] = c.begin(t, m, l.GetMembers())
			}
		}
	}
}

func (c *closing) begin(t tenure, m *wire.Member, members []*wire.Member) *progress {
	return &progress{
		member: m, witnesses: lease.Witnesses(t.owner, members), over: map[lease.Key]clock.Instant{},
		free: map[lease.Key]clock.Instant{}, closed: c.said[t.owner] > t.epoch,
	}
}

// says notes that a member's tenures before an epoch are closed.
func (c *closing) says(k lease.Key, epoch uint64) {
	if epoch <= c.said[k] {
		return
	}
	c.said[k] = epoch
	for t, p := range c.tenures {
		if t.owner == k && t.epoch < epoch {
			c.close(p)
		}
	}
}

// past notes that a witness is past an epoch, and when its last grants will have run out.
func (c *closing) past(now clock.Instant, r *wire.Report) {
	p := c.tenures[tenure{epoch: r.GetEpoch(), owner: lease.Key(r.GetSubject())}]
	w := lease.Key(r.GetWitness())
	if p == nil || !lease.IsWitness(w, p.witnesses) {
		return
	}
	earliest(p.over, w, now, r.GetRemainingMs())
	earliest(p.free, w, now, r.GetDeputyMs())
}

func earliest(l map[lease.Key]clock.Instant, w lease.Key, now clock.Instant, ms uint32) {
	i := now.Add(lease.Widen(time.Duration(ms) * time.Millisecond))
	if o, ok := l[w]; !ok || i < o {
		l[w] = i
	}
}

// settle closes the tenures whose witnesses' grants have run out, and notes which of the member's own no deputy can
// hold.
func (c *closing) settle(now clock.Instant, self lease.Key) {
	for t, p := range c.tenures {
		q := lease.Quorum(len(p.witnesses))
		if count(p.over, now) >= q {
			c.close(p)
		}
		if t.owner == self && !p.own && count(p.free, now) >= q {
			p.own = true
			c.closed++
		}
	}
}

func count(l map[lease.Key]clock.Instant, now clock.Instant) int {
	n := 0
	for _, i := range l {
		if i <= now {
			n++
		}
	}
	return n
}

// closedBefore returns the latest epoch, up to the given one, before which no tenure of the member is open.
func (c *closing) closedBefore(self lease.Key, epoch uint64) uint64 {
	for t, p := range c.tenures {
		if t.owner == self && !p.own && !p.closed {
			epoch = min(epoch, t.epoch)
		}
	}
	return epoch
}

func (c *closing) close(p *progress) {
	if !p.closed {
		p.closed = true
		c.closed++
	}
}

// openCount returns the number of open tenures.
func (c *closing) openCount() int {
	n := 0
	for _, p := range c.tenures {
		if !p.closed {
			n++
		}
	}
	return n
}

// prune returns the earlier epochs of an epoch without the tenures for which done holds.
func prune(e *wire.Epoch, done func(epoch uint64, id string) bool) []*wire.EarlierEpoch {
	var r []*wire.EarlierEpoch
	for _, l := range e.GetEarlier() {
		n := proto.Clone(l).(*wire.EarlierEpoch)
		n.Open = nil
		for _, id := range l.GetOpen() {
			if !done(l.GetNumber(), id) {
				n.Open = append(n.Open, id)
			}
		}
		if len(n.Open) > 0 {
			r = append(r, n)
		}
	}
	return r
}

func (c *closing) isClosed(epoch uint64, id string) bool {
	k := lease.KeyOfID(id)
	p := c.tenures[tenure{epoch: epoch, owner: k}]
	return c.said[k] > epoch || p != nil && p.closed
}

// ownOnly tells whether only the member itself can hold the lease of a tenure of its own.
func (c *closing) ownOnly(epoch uint64, id string, self lease.Key) bool {
	k := lease.KeyOfID(id)
	p := c.tenures[tenure{epoch: epoch, owner: k}]
	return k == self && p != nil && p.own
}

func isOpen(l *wire.EarlierEpoch, id string) bool {
	for _, o := range l.GetOpen() {
		if o == id {
			return true
		}
	}
	return false
}
