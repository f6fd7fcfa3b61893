package lease

import (
	"slices"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/wire"
)

// Holder tracks the lease of one member under one epoch.
type Holder struct {
	// Epoch is the number of the epoch.
	Epoch uint64
	// Witnesses are the members that are asked to grant the lease.
	Witnesses []*wire.Member
	// renewalsSentAt is, by witness, when the last renewal that it granted was sent.
	renewalsSentAt map[Key]clock.Instant
}

// NewHolder returns the lease of a member under an epoch, without any grants.
func NewHolder(self Key, e *wire.Epoch) *Holder {
	return &Holder{
		Epoch:          e.GetNumber(),
		Witnesses:      Witnesses(self, e.GetMembers()),
		renewalsSentAt: map[Key]clock.Instant{},
	}
}

// AddGrant records that a witness granted the renewal that was sent at the given time.
func (h *Holder) AddGrant(witness Key, sent clock.Instant) {
	if IsWitness(witness, h.Witnesses) && sent > h.renewalsSentAt[witness] {
		h.renewalsSentAt[witness] = sent
	}
}

// ExpiresAt returns when the lease expires, or zero if no quorum has granted it.
func (h *Holder) ExpiresAt() clock.Instant {
	q := Quorum(len(h.Witnesses))
	if len(h.renewalsSentAt) < q {
		return 0
	}
	l := make([]clock.Instant, 0, len(h.renewalsSentAt))
	for _, i := range h.renewalsSentAt {
		l = append(l, i)
	}
	slices.Sort(l)
	return l[len(l)-q].Add(Term)
}
