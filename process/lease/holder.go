package lease

import (
	"slices"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/wire"
)

// Holder follows the lease of one member under one epoch.
type Holder struct {
	// Epoch is the number of the epoch.
	Epoch uint64
	// Witnesses are those asked for renewal.
	Witnesses []*wire.Member
	// granted are the send instants of the newest granted renewal, by witness.
	renewalsSentAt map[Key]clock.Instant
}

// NewHolder returns the lease of a member under an epoch, which no witness has granted yet.
func NewHolder(self Key, e *wire.Epoch) *Holder {
	return &Holder{
		Epoch:          e.GetNumber(),
		Witnesses:      Witnesses(self, e.GetMembers()),
		renewalsSentAt: map[Key]clock.Instant{},
	}
}

// Grant notes that a witness granted the renewal that was sent at the instant.
func (h *Holder) AddGrant(witness Key, sent clock.Instant) {
	if IsWitness(witness, h.Witnesses) && sent > h.renewalsSentAt[witness] {
		h.renewalsSentAt[witness] = sent
	}
}

// Until returns the instant at which the lease ends, or zero when no quorum has granted it.
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
