package fleet

import (
	"cmp"
	"slices"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

const (
	// directLimit is the size of a fleet up to which readers send their datagrams to every member themselves. In a larger
	// one they send one to each data centre, where a member passes it on: the traffic between data centres and the work
	// of a reader don't grow with the fleet.
	directLimit = 64
	// relayCount is how many members of each data centre pass datagrams on, in turn, so that one that has failed only
	// loses every fourth.
	relayCount = 4
	// fetchFanout is how many members fetch a large update from the same one.
	fetchFanout = 10
)

// topology is the order of the members at one position of the store. It is immutable.
type topology struct {
	// at and size identify the list of members.
	at   catalog.Position
	size int
	// ranks holds the rank of each member.
	ranks map[ident.VM]int
	// byDataCentre holds the members of each data centre by rank, and indexes the index of each in its data centre.
	byDataCentre map[ident.DataCentre][]roster.Member
	indexes      map[ident.VM]int
	dataCentres  []ident.DataCentre
}

// newTopology returns the order of the members. They are ranked by capacity and then by hash. Rank 1 goes to the first
// member in another data centre than that of rank 0, so that a reader remains when one data centre is lost.
func newTopology(l []roster.Member, at catalog.Position) *topology {
	t := &topology{
		at: at, size: len(l), ranks: map[ident.VM]int{}, byDataCentre: map[ident.DataCentre][]roster.Member{},
		indexes: map[ident.VM]int{},
	}
	hashes := map[ident.VM]uint64{}
	for _, m := range l {
		hashes[m.Name] = hash(string(m.Name))
	}
	l = slices.Clone(l)
	slices.SortFunc(l, func(a, b roster.Member) int {
		return cmp.Or(
			cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(hashes[a.Name], hashes[b.Name]), cmp.Compare(a.Name, b.Name),
		)
	})
	for i := range l {
		if i > 0 && l[i].DataCentre != l[0].DataCentre {
			m := l[i]
			l = slices.Insert(slices.Delete(l, i, i+1), 1, m)
			break
		}
	}
	for i, m := range l {
		t.ranks[m.Name] = i
		if len(t.byDataCentre[m.DataCentre]) == 0 {
			t.dataCentres = append(t.dataCentres, m.DataCentre)
		}
		t.indexes[m.Name] = len(t.byDataCentre[m.DataCentre])
		t.byDataCentre[m.DataCentre] = append(t.byDataCentre[m.DataCentre], m)
	}
	return t
}

// rank returns the rank of a VM; for a VM that isn't a member it returns the number of members.
func (t *topology) rank(v ident.VM) int {
	if r, ok := t.ranks[v]; ok {
		return r
	}
	return t.size
}

// fetchFrom returns the member from which m fetches what a reader has sent a digest of; false means the reader itself.
// The members of a data centre form a tree whose root alone fetches from a reader elsewhere.
func (t *topology) fetchFrom(reader ident.VM, m *roster.Member) (roster.Member, bool) {
	if t.size <= directLimit {
		return roster.Member{}, false
	}
	l := t.byDataCentre[m.DataCentre]
	i := t.indexes[m.Name]
	r := -1
	if k, ok := t.indexes[reader]; ok && l[min(k, len(l)-1)].Name == reader {
		r = k
	}
	// In its own data centre the reader is the root, before all others.
	at := func(n int) roster.Member {
		switch {
		case r < 0 || n > r:
			return l[n]
		case n == 0:
			return l[r]
		default:
			return l[n-1]
		}
	}
	if r >= 0 && i < r {
		i++
	}
	if i == 0 {
		return roster.Member{}, false
	}
	p := at((i - 1) / fetchFanout)
	return p, p.Name != reader
}

// relay returns the member of a data centre that passes on the nth datagram.
func (t *topology) relay(d ident.DataCentre, n int) roster.Member {
	l := t.byDataCentre[d]
	return l[n%min(relayCount, len(l))]
}

// topology returns the order of the members that this VM knows.
func (f *Fleet) topology() *topology {
	v := f.catalog.Get()
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.order; t == nil || t.at != v.MembersAt || t.size != len(v.Members) {
		f.order = newTopology(v.Members, v.MembersAt)
	}
	return f.order
}
