package claim

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/wire"
)

// How keys are divided among the members.
const (
	partitionCount    = 256
	replicationFactor = 3
)

// partition is a set of keys that have the same replicas.
type partition uint32

func partitionOf(s ident.Service, k ident.Key) partition {
	return partition(xxhash.Sum64String(string(s)+"\n"+string(k)) % partitionCount)
}

func majority(n int) int {
	return n/2 + 1
}

// placement holds the replicas of every partition under one epoch.
type placement struct {
	members  []*wire.Member
	replicas [partitionCount][]*wire.Member
}

func newPlacement(members []*wire.Member) *placement {
	l := &placement{members: members}
	for p := range l.replicas {
		l.replicas[p] = replicasOf(members, partition(p))
	}
	return l
}

// replicasOf returns the members with the highest hashes (rendezvous hashing), in different data centres as far as
// there are enough.
func replicasOf(members []*wire.Member, p partition) []*wire.Member {
	rank := make(map[string]uint64, len(members))
	for _, m := range members {
		rank[m.GetId()] = xxhash.Sum64String(strconv.Itoa(int(p)) + "|" + m.GetId())
	}
	l := slices.Clone(members)
	slices.SortFunc(l, func(a, b *wire.Member) int {
		return cmp.Or(cmp.Compare(rank[b.GetId()], rank[a.GetId()]), cmp.Compare(a.GetId(), b.GetId()))
	})
	// distinct holds the first member of each data centre, and rest the other members.
	var distinct, rest []*wire.Member
	seen := map[string]bool{}
	for _, m := range l {
		if seen[m.GetDataCentre()] {
			rest = append(rest, m)
			continue
		}
		seen[m.GetDataCentre()] = true
		distinct = append(distinct, m)
	}
	distinct = append(distinct, rest...)
	return distinct[:min(replicationFactor, len(distinct))]
}

func sameMembers(a, b []*wire.Member) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.Member) bool { return x.GetId() == y.GetId() })
}

func containsAny(l []*wire.Member, ids map[ident.Member]bool) bool {
	return slices.ContainsFunc(l, func(m *wire.Member) bool { return ids[ident.Member(m.GetId())] })
}
