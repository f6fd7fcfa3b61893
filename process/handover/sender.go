package handover

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/wire"
)

// sendInterval is the time between two sends of a handover, which is sent until the last request has ended and the new
// owner knows it.
const sendInterval = 20 * time.Millisecond

// Outgoing is a handover with the address of the shard's new owner.
type Outgoing struct {
	Handover
	To ident.Address
}

// Source provides the handovers of the shards that this member no longer owns.
type Source interface {
	// PendingHandovers returns a handover for each such shard whose new owner doesn't have its final state yet.
	PendingHandovers() []Outgoing
	// MarkReceived records that the new owner has received a handover.
	MarkReceived(h *Handover)
}

// Messenger sends a message to another member; peer.Client implements it.
type Messenger interface {
	SendMessage(ctx context.Context, to ident.Address, k peer.MessageKind, m, a proto.Message) error
}

// Sender sends handovers to the new owners of the shards that this member no longer owns.
type Sender struct {
	source    Source
	messenger Messenger
}

// NewSender returns a sender of the handovers that the source provides.
func NewSender(s Source, m Messenger) *Sender {
	return &Sender{source: s, messenger: m}
}

// Run sends handovers until the context ends.
func (s *Sender) Run(ctx context.Context) {
	t := time.NewTicker(sendInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.Send(ctx)
		}
	}
}

// Send sends each handover once. A failed one is sent again by the next call. Handovers to different members are sent
// concurrently, so that an unreachable member delays no other.
func (s *Sender) Send(ctx context.Context) {
	to := map[ident.Address][]Outgoing{}
	for _, o := range s.source.PendingHandovers() {
		to[o.To] = append(to[o.To], o)
	}
	var g sync.WaitGroup
	for _, l := range to {
		g.Go(func() { s.sendToMember(ctx, l) })
	}
	g.Wait()
}

// sendToMember sends handovers to one member. It stops at the first failure, because the others would fail in the same
// way.
func (s *Sender) sendToMember(ctx context.Context, l []Outgoing) {
	for i := range l {
		h := &l[i].Handover
		if s.messenger.SendMessage(ctx, l[i].To, Kind, Encode(h), &wire.HandoverTaken{}) != nil {
			return
		}
		s.source.MarkReceived(h)
	}
}
