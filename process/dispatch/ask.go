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

// The bounds of asking former owners.
const (
	// askTime bounds how long a new owner waits for the word of the former ones.
	askTime  = 400 * time.Millisecond
	askPause = 10 * time.Millisecond
	// maxFormers bounds how many are asked.
	maxFormers = 4
)

// errNotYet means that the asked member doesn't know of the new epoch yet.
var errNotYet = errors.New("dispatch: epoch not known yet")

// ask lets requests for a new shard wait until its former owners have said what they have in flight. A former owner's
// lease says only that it starts nothing more; what it has started may still run.
func (d *Dispatcher) ask(now clock.Instant, v *view.View, o *owned) {
	l := d.formers(v, o.schedule.id)
	if len(l) == 0 {
		return
	}
	o.schedule.pendingUntil = now.Add(askTime)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTime)
		defer cancel()
		for ctx.Err() == nil {
			if d.askAll(ctx, o, v.Epoch.GetNumber(), l) {
				d.settle(o)
				return
			}
			time.Sleep(askPause)
		}
	}()
}

// settle opens the places.
func (d *Dispatcher) settle(o *owned) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := d.clock.Now()
	o.schedule.pendingUntil = 0
	o.schedule.pump(now)
}

// askAll asks each former owner and reports whether all have answered.
func (d *Dispatcher) askAll(ctx context.Context, o *owned, e uint64, l []*wire.Member) bool {
	all := true
	for _, m := range l {
		q := &wire.Handover{Shard: string(o.schedule.id), Epoch: e}
		a := &wire.Handover{}
		if err := d.messenger.Message(ctx, ident.Address(m.GetPeerAddress()), handover.AskKind, q, a); err != nil {
			all = false
			continue
		}
		d.take(handover.FromWire(a))
	}
	return all
}

// formers returns the members that may have dispatched the shard lately, but for this one.
func (d *Dispatcher) formers(v *view.View, id ident.Shard) []*wire.Member {
	h, _, ok := d.tables.Of(v).Shard(id)
	if !ok {
		return nil
	}
	var l []*wire.Member
	add := func(members []*wire.Member, recent bool) {
		m, ok := shard.Owner(id, h.DataCentre, members)
		if !ok || m.GetId() == string(v.Self) || len(l) == maxFormers {
			return
		}
		if !recent && !isMember(v, m) {
			return
		}
		if !slices.ContainsFunc(l, func(o *wire.Member) bool { return o.GetId() == m.GetId() }) {
			l = append(l, m)
		}
	}
	if o := d.tables.Of(v).Owner(id); o != nil && o.GetId() != string(v.Self) {
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

// Answer tells a new owner what this member still has in flight; it fails while this member itself doesn't know yet
// that the shard has another owner.
func (d *Dispatcher) Answer(_ context.Context, b []byte) (proto.Message, error) {
	q, err := handover.Decode(b)
	if err != nil {
		return nil, err
	}
	v := d.views.Get()
	if ident.Epoch(v.Epoch.GetNumber()) < q.Epoch {
		return nil, errNotYet
	}
	d.mu.Lock()
	o, ok := d.shards[q.Shard]
	d.mu.Unlock()
	h := handover.Handover{Shard: q.Shard, Member: v.Self, Epoch: ident.Epoch(v.Epoch.GetNumber())}
	if !ok {
		return handover.Encode(&h), nil
	}
	d.tick(v, o)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.schedule.parting == nil {
		return nil, errNotYet
	}
	h = o.schedule.handover(d.clock.Now(), v)
	return handover.Encode(&h), nil
}
