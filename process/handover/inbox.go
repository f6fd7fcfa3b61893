package handover

import (
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

const (
	// maxHandovers bounds the number of handovers that are held.
	maxHandovers = 65536
	// retention is how long a handover is held and the target states in it are used.
	retention = 10 * time.Second
)

// Inbox holds the handovers that arrived recently. It is safe for concurrent use.
type Inbox struct {
	clock clock.Clock

	mu        sync.Mutex
	handovers map[inboxKey]*Received
}

type inboxKey struct {
	shard  ident.Shard
	member ident.Member
}

// Received is a handover with the time at which it arrived.
type Received struct {
	*Handover
	ReceivedAt clock.Instant
}

// NewInbox returns an empty inbox.
func NewInbox(c clock.Clock) *Inbox {
	return &Inbox{clock: c, handovers: map[inboxKey]*Received{}}
}

// Put stores a handover. A handover under an earlier epoch than the last one of the same sender is stale and ignored.
func (b *Inbox) Put(h *Handover) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := inboxKey{shard: h.Shard, member: h.Member}
	now := b.clock.Now()
	if o, ok := b.handovers[k]; ok && o.Epoch > h.Epoch {
		return
	}
	if len(b.handovers) >= maxHandovers {
		b.dropExpired(now)
	}
	if len(b.handovers) < maxHandovers {
		b.handovers[k] = &Received{Handover: h, ReceivedAt: now}
	}
}

// HasReleased reports whether the member has said that it no longer dispatches the shard under the given epoch.
func (b *Inbox) HasReleased(s ident.Shard, m ident.Member, e ident.Epoch) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.handovers[inboxKey{shard: s, member: m}]
	return ok && r.Epoch > e
}

// ForShard returns the handovers of a shard that arrived recently.
func (b *Inbox) ForShard(s ident.Shard) []*Received {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropExpired(b.clock.Now())
	var l []*Received
	for k, r := range b.handovers {
		if k.shard == s {
			l = append(l, r)
		}
	}
	return l
}

func (b *Inbox) dropExpired(now clock.Instant) {
	for k, r := range b.handovers {
		if now.Sub(r.ReceivedAt) > retention {
			delete(b.handovers, k)
		}
	}
}
