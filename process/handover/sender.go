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

// sendTime is how often handovers are sent again until the last request has ended and the new owner knows it.
const sendInterval = 20 * time.Millisecond

// Outgoing is a handover with the address of the shard's new owner.
type Outgoing struct {
	Handover
	To ident.Address
}

// Source holds the shards that this member has lost.
type Source interface {
	// Lost returns a handover for each shard that was lost and whose new owner doesn't know all yet.
	Lost() []Outgoing
	// Told notes that the new owner has taken a handover.
	Told(h *Handover)
}

// Messenger sends a message to another member; peer.Client is one.
type Messenger interface {
	Message(ctx context.Context, to ident.Address, k peer.Kind, m, a proto.Message) error
}

// Sender tells new owners about the shards that this member has lost.
type Sender struct {
	source    Source
	messenger Messenger
}

// NewSender returns a sender.
func NewSender(s Source, m Messenger) *Sender {
	return &Sender{source: s, messenger: m}
}

// Run sends until the context ends.
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

// Send tells each new owner once; what fails is sent again the next time. Members are told side by side, so that one
// that can't be reached delays no other.
func (s *Sender) Send(ctx context.Context) {
	to := map[ident.Address][]Outgoing{}
	for _, o := range s.source.Lost() {
		to[o.To] = append(to[o.To], o)
	}
	var g sync.WaitGroup
	for _, l := range to {
		g.Go(func() { s.sendToMember(ctx, l) })
	}
	g.Wait()
}

// sendAll tells one member; the first failure ends it, since the others would fail alike.
func (s *Sender) sendToMember(ctx context.Context, l []Outgoing) {
	for i := range l {
		h := &l[i].Handover
		if s.messenger.Message(ctx, l[i].To, Kind, Encode(h), &wire.HandoverTaken{}) != nil {
			return
		}
		s.source.Told(h)
	}
}
