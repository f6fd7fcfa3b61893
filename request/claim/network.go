package claim

import (
	"context"

	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/wire"
)

// Envelope is a request to one member.
type Envelope struct {
	To      *wire.Member
	Request *wire.ClaimRequest
}

// Network sends requests to members.
type Network interface {
	// FanOut sends all requests concurrently and passes the replies to handle one by one, each with the index of its
	// envelope, until handle returns true or no reply is outstanding. Requests that are outstanding then may still be
	// delivered.
	FanOut(ctx context.Context, l []Envelope, handle func(i int, r *wire.ClaimReply) bool)
}

// Transport is the network between entry processes.
type Transport struct {
	client *peer.Client
	local  *Replicas
}

// NewTransport returns a network that uses the client of the other members.
func NewTransport(c *peer.Client) *Transport {
	return &Transport{client: c}
}

// SetLocal sets the replicas of this process, which are called directly. It must be called before the first FanOut.
func (t *Transport) SetLocal(k *Replicas) {
	t.local = k
}

// indexedReply is a reply with the index of its envelope.
type indexedReply struct {
	index int
	reply *wire.ClaimReply
}

// FanOut implements Network.
func (t *Transport) FanOut(ctx context.Context, l []Envelope, handle func(i int, r *wire.ClaimReply) bool) {
	c := make(chan indexedReply, len(l))
	for i, e := range l {
		go func() { c <- indexedReply{index: i, reply: t.send(context.WithoutCancel(ctx), &e)} }()
	}
	for range l {
		select {
		case <-ctx.Done():
			return
		case n := <-c:
			if n.reply != nil && handle(n.index, n.reply) {
				return
			}
		}
	}
}

func (t *Transport) send(ctx context.Context, e *Envelope) *wire.ClaimReply {
	if t.local != nil && t.local.hasID(ident.Member(e.To.GetId())) {
		return t.local.Handle(e.Request)
	}
	r := &wire.ClaimReply{}
	if err := t.client.SendMessage(ctx, ident.Address(e.To.GetPeerAddress()), Kind, e.Request, r); err != nil {
		return nil
	}
	return r
}

// hasID reports whether this process has or had the ID of the member.
func (k *Replicas) hasID(m ident.Member) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh()
	return k.ownIDs[m]
}
