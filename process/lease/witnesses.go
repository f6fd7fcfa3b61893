package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthramp/amaranthramp/wire"
)

// Key is the hash of a member's id, which identifies the member in datagrams.
type Key uint64

// maxWitnesses bounds the number of witnesses of one member.
const maxWitnesses = 5

// KeyOf returns the key of a member.
func KeyOf(m *wire.Member) Key {
	return KeyOfID(m.GetId())
}

// KeyOfID returns the key of the member with the id.
func KeyOfID(id string) Key {
	return Key(xxhash.Sum64String(id))
}

// Quorum returns how many of n witnesses have to grant a lease. Any two quorums have a witness in common.
func Quorum(n int) int {
	return n/2 + 1
}

// Witnesses returns the witnesses of a member under an epoch with the given members.
//
// They are the members with the highest hash, spread evenly over the data centres, so that a quorum is left when one
// data centre is lost. The member itself is a witness only if the number of the others is even.
func Witnesses(subject Key, members []*wire.Member) []*wire.Member {
	var l []*wire.Member
	var self *wire.Member
	for _, m := range members {
		if KeyOf(m) == subject {
			self = m
			continue
		}
		l = append(l, m)
	}
	r := spreadOverDataCentres(rankByHash(subject, l))
	if len(r)%2 == 0 && self != nil {
		r = append(r, self)
	}
	return r
}

// IsWitness reports whether the member with the key is one of the witnesses.
func IsWitness(k Key, witnesses []*wire.Member) bool {
	return slices.ContainsFunc(witnesses, func(m *wire.Member) bool { return KeyOf(m) == k })
}

// rankByHash sorts members by their rendezvous hash with the key, highest first.
func rankByHash(subject Key, l []*wire.Member) []*wire.Member {
	weight := make(map[string]uint64, len(l))
	for _, m := range l {
		weight[m.GetId()] = murmurFinalizer(uint64(subject) ^ uint64(KeyOf(m)))
	}
	slices.SortFunc(l, func(a, b *wire.Member) int {
		return cmp.Or(cmp.Compare(weight[b.GetId()], weight[a.GetId()]), cmp.Compare(a.GetId(), b.GetId()))
	})
	return l
}

// spreadOverDataCentres picks members in order, each from a data centre that has the fewest picked so far.
func spreadOverDataCentres(l []*wire.Member) []*wire.Member {
	var r []*wire.Member
	taken := map[string]int{}
	for len(r) < maxWitnesses && len(l) > 0 {
		best := 0
		for i, m := range l {
			if taken[m.GetDataCentre()] < taken[l[best].GetDataCentre()] {
				best = i
			}
		}
		taken[l[best].GetDataCentre()]++
		r = append(r, l[best])
		l = slices.Delete(l, best, best+1)
	}
	return r
}

// murmurFinalizer is the finalizer of the 64-bit MurmurHash3.
func murmurFinalizer(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
