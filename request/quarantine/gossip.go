package quarantine

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

const (
	// keeperCount is how many members count the deaths of targets by each request. They are in different data centres as
	// far as possible.
	keeperCount = 3
	// maxDatagramItems bounds the items of one datagram.
	maxDatagramItems = 24
	// syncInterval is the interval at which a member compares its quarantines with those of another one, so that it learns
	// of those whose datagrams it lost, or that are older than its process.
	syncInterval = time.Second
)

// Peers is the way to the other members.
type Peers interface {
	// Self returns this member.
	Self() roster.Member
	// Running returns the other members that run as far as is known.
	Running() []roster.Member
	// SendQuarantine sends a message to a member in a datagram, which may get lost.
	SendQuarantine(to ident.Address, m *wire.QuarantineNews)
}

// Gossip exchanges observations with the other members until the context ends. A death is reported to the keepers of
// the request only, since single deaths are frequent in a disturbance; quarantines and successes of suspects go to all.
func (t *Table) Gossip(ctx context.Context, p Peers) {
	sync := time.NewTicker(syncInterval)
	defer sync.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-t.reports.Out():
			l := t.collectReports(r)
			t.sendReports(p, l)
			for _, r := range l {
				close(r.delivered)
			}
		case <-sync.C:
			t.ask(p)
		}
	}
}

// Handle applies a message that Gossip of another member has sent, and answers it if it asks for the quarantines.
func (t *Table) Handle(m *wire.QuarantineNews, from ident.Address, p Peers) {
	t.Apply(m)
	if !m.GetAsk() {
		return
	}
	l, sum := t.quarantines()
	if sum == m.GetSum() {
		return
	}
	for c := range slices.Chunk(l, maxDatagramItems) {
		p.SendQuarantine(from, &wire.QuarantineNews{Items: c})
	}
}

// ask asks a member at random for its quarantines.
func (t *Table) ask(p Peers) {
	others := p.Running()
	if len(others) == 0 {
		return
	}
	_, sum := t.quarantines()
	p.SendQuarantine(others[rand.IntN(len(others))].Address, &wire.QuarantineNews{Ask: true, Sum: sum})
}

// quarantines returns the items of all quarantines in force and a checksum of them.
func (t *Table) quarantines() ([]*wire.QuarantineItem, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var l []*wire.QuarantineItem
	sum := uint64(0)
	for f, s := range t.suspects {
		if now < s.quarantinedUntil {
			l = append(l, s.item(f, now))
			sum ^= hashOf(f, "")
		}
	}
	return l, sum
}

// sendReports sends each report to the members that need it.
func (t *Table) sendReports(p Peers, l []report) {
	others := p.Running()
	self := p.Self()
	items := map[ident.Address][]*wire.QuarantineItem{}
	for _, r := range l {
		receivers := others
		if r.item.GetUpstream() != "" {
			receivers = keepers(Fingerprint(r.item.GetFingerprint()), append(slices.Clone(others), self))
		}
		for _, m := range receivers {
			if m.Name != self.Name {
				items[m.Address] = append(items[m.Address], r.item)
			}
		}
	}
	for a, l := range items {
		for c := range slices.Chunk(l, maxDatagramItems) {
			p.SendQuarantine(a, &wire.QuarantineNews{Items: c})
		}
	}
}

// keepers returns the members that count the deaths of targets by a request, the same ones at each member that knows
// the same members: by rendezvous hashing, and in different data centres as far as possible. It reorders the list.
func keepers(f Fingerprint, l []roster.Member) []roster.Member {
	slices.SortFunc(l, func(a, b roster.Member) int {
		return cmp.Compare(hashOf(f, a.Name), hashOf(f, b.Name))
	})
	seen := map[ident.DataCentre]bool{}
	var first, rest []roster.Member
	for _, m := range l {
		if seen[m.DataCentre] {
			rest = append(rest, m)
			continue
		}
		seen[m.DataCentre] = true
		first = append(first, m)
	}
	return slices.Concat(first, rest)[:min(keeperCount, len(l))]
}

func hashOf(f Fingerprint, v ident.VM) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(uint64(f), 16) + "/" + string(v))
}
