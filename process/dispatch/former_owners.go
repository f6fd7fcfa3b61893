package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/handover"
	"github.com/amaranthramp/amaranthramp/process/shard"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/wire"
)

// The bounds of querying former owners.
const (
	// handoverQueryTimeout bounds how long a new owner waits for the handovers of former owners.
	handoverQueryTimeout  = 400 * time.Millisecond
	handoverQueryInterval = 10 * time.Millisecond
	// maxFormerOwners bounds how many former owners are queried.
	maxFormerOwners = 4
)

// errNotReleased means that the queried member doesn't know the new epoch yet, or still dispatches the shard.
var errNotReleased = errors.New("dispatch: former owner has not released the shard for this epoch yet")

// queryFormerOwners blocks the targets of a shard that this member has just taken over until the shard's former owners
// have reported what they have in flight, for at most handoverQueryTimeout. The end of a former owner's lease only
// means that it starts no more requests; those that it has started may still run.
func (d *Dispatcher) queryFormerOwners(now clock.Instant, v *view.View, o *lockedScheduler) {
	l := d.formerOwners(v, o.scheduler.id)
	if len(l) == 0 {
		return
	}
	o.scheduler.blockedUntil = now.Add(handoverQueryTimeout)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), handoverQueryTimeout)
		defer cancel()
		for ctx.Err() == nil {
			if d.queryHandovers(ctx, o, v.Epoch.GetNumber(), l) {
				d.unblock(o)
				return
			}
			time.Sleep(handoverQueryInterval)
		}
	}()
}

// unblock lets requests start on the shard's targets and starts queued ones.
func (d *Dispatcher) unblock(o *lockedScheduler) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := d.clock.Now()
	o.scheduler.blockedUntil = 0
	o.scheduler.startQueued(now)
}

// queryHandovers queries each former owner and reports whether all have answered.
func (d *Dispatcher) queryHandovers(ctx context.Context, o *lockedScheduler, e uint64, l []*wire.Member) bool {
	all := true
	for _, m := range l {
		q := &wire.Handover{Shard: string(o.scheduler.id), Epoch: e}
		a := &wire.Handover{}
		if err := d.messenger.SendMessage(ctx, ident.Address(m.GetPeerAddress()), handover.QueryKind, q, a); err != nil {
			all = false
			continue
		}
		d.acceptHandover(handover.FromWire(a))
	}
	return all
}

// formerOwners returns the other members that may have dispatched the shard recently.
func (d *Dispatcher) formerOwners(v *view.View, id ident.Shard) []*wire.Member {
	h, _, ok := d.tables.For(v).Shard(id)
	if !ok {
		return nil
	}
	var l []*wire.Member
	add := func(members []*wire.Member, recent bool) {
		m, ok := shard.Owner(id, h.DataCentre, members)
		if !ok || m.GetId() == string(v.Self) || len(l) == maxFormerOwners {
			return
		}
		if !recent && !isMember(v, m) {
			return
		}
		if !slices.ContainsFunc(l, func(o *wire.Member) bool { return o.GetId() == m.GetId() }) {
			l = append(l, m)
		}
	}
	if o := d.tables.For(v).Owner(id); o != nil && o.GetId() != string(v.Self) {
		// This member is the deputy of a silent owner.
		l = append(l, o)
	}
	for _, e := range v.Epoch.GetEarlier() {
		add(e.GetMembers(), true)
	}
	past := v.Epoch.GetPast()
	for i := len(past) - 1; i >= 0; i-- {
		add(past[i].GetMembers(), i == len(past)-1)
	}
	return l
}

func isMember(v *view.View, m *wire.Member) bool {
	return slices.ContainsFunc(v.Epoch.GetMembers(), func(o *wire.Member) bool { return o.GetId() == m.GetId() })
}

// AnswerHandoverQuery answers a new owner's query with the requests that this member still has in flight. It fails
// while this member doesn't know yet that the shard has another owner.
func (d *Dispatcher) AnswerHandoverQuery(_ context.Context, b []byte) (proto.Message, error) {
	q, err := handover.Decode(b)
	if err != nil {
		return nil, err
	}
	v := d.views.Get()
	if ident.Epoch(v.Epoch.GetNumber()) < q.Epoch {
		return nil, errNotReleased
	}
	d.mu.Lock()
	o, ok := d.schedulers[q.Shard]
	d.mu.Unlock()
	h := handover.Handover{Shard: q.Shard, Member: v.Self, Epoch: ident.Epoch(v.Epoch.GetNumber())}
	if !ok {
		return handover.Encode(&h), nil
	}
	d.refresh(v, o)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.scheduler.formerOwnership == nil {
		return nil, errNotReleased
	}
	h = o.scheduler.buildHandover(d.clock.Now(), v)
	return handover.Encode(&h), nil
}
