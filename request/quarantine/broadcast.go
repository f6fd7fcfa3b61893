package quarantine

import (
	"context"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/wire"
)

// Kind is the kind of the messages between members.
const Kind peer.MessageKind = "Quarantine"

// The limits on one broadcast of reports.
const (
	maxItems         = 256
	maxParallelSends = 16
	sendAttempts     = 2
)

// Messenger sends a message to another member.
type Messenger interface {
	SendMessage(ctx context.Context, to ident.Address, k peer.MessageKind, m, a proto.Message) error
}

// Receive applies the reports of another member. It returns an error only if the bytes can't be decoded.
func (t *Table) Receive(_ context.Context, b []byte) (proto.Message, error) {
	m := &wire.QuarantineNews{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("decode quarantine message: %w", err)
	}
	t.Apply(m)
	return &wire.QuarantineTaken{}, nil
}

// Broadcast sends what this member observed to the other members until the context ends.
func (t *Table) Broadcast(ctx context.Context, v *view.Holder, c Messenger) {
	t.broadcasting.Store(true)
	defer t.broadcasting.Store(false)
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-t.reports.Out():
			l := t.collectReports(r)
			t.broadcast(ctx, v.Get(), c, newMessage(l))
			for _, r := range l {
				close(r.delivered)
			}
		}
	}
}

// collectReports returns the report and those that are waiting behind it, up to maxItems.
func (t *Table) collectReports(r report) []report {
	l := []report{r}
	for len(l) < maxItems {
		select {
		case r := <-t.reports.Out():
			l = append(l, r)
		default:
			return l
		}
	}
	return l
}

func newMessage(l []report) *wire.QuarantineNews {
	m := &wire.QuarantineNews{}
	for _, r := range l {
		m.Items = append(m.Items, r.item)
	}
	return m
}

// broadcast sends a message to all other members, to at most maxParallelSends at a time. A send that fails is tried
// once more.
func (t *Table) broadcast(ctx context.Context, v *view.View, c Messenger, m *wire.QuarantineNews) {
	var g sync.WaitGroup
	slots := make(chan struct{}, maxParallelSends)
	for _, o := range v.Epoch.GetMembers() {
		if o.GetId() == string(v.Self) {
			continue
		}
		slots <- struct{}{}
		g.Go(func() {
			defer func() { <-slots }()
			for range sendAttempts {
				if c.SendMessage(ctx, ident.Address(o.GetPeerAddress()), Kind, m, &wire.QuarantineTaken{}) == nil {
					return
				}
			}
		})
	}
	g.Wait()
}
