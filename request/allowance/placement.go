package allowance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// rankedMember is a member with its rendezvous hash for a team.
type rankedMember struct {
	hash   uint64
	member *roster.Member
}

// keepersOf returns the keepers of a team, the same ones at each member that knows the same members: by rendezvous
// hashing, and in different data centres as far as possible.
func keepersOf(t ident.Team, l []roster.Member) []*roster.Member {
	ranked := make([]rankedMember, len(l))
	for i := range l {
		ranked[i] = rankedMember{hash: hashOf(t, l[i].Name), member: &l[i]}
	}
	slices.SortFunc(ranked, func(a, b rankedMember) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.member.Name, b.member.Name))
	})
	n := keeperCountOf(l)
	seen := map[ident.DataCentre]bool{}
	var first, rest []*roster.Member
	for _, r := range ranked {
		switch m := r.member; {
		case !seen[m.DataCentre]:
			seen[m.DataCentre] = true
			first = append(first, m)
		case len(rest) < n:
			rest = append(rest, m)
		}
		if len(first) == n {
			return first
		}
	}
	return slices.Concat(first, rest)[:n]
}

// keeperCountOf returns how many keepers a team has with these members.
func keeperCountOf(l []roster.Member) int {
	return min(KeeperCount, len(l))
}

// nearestFirst orders the keepers as a member asks them: itself, those in its data centre, then the others, which
// different members ask in different orders.
func nearestFirst(l []*roster.Member, self *roster.Member) []*roster.Member {
	distance := func(m *roster.Member) int {
		switch {
		case m.Name == self.Name:
			return 0
		case m.DataCentre == self.DataCentre:
			return 1
		default:
			return 2
		}
	}
	l = slices.Clone(l)
	slices.SortFunc(l, func(a, b *roster.Member) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)),
			cmp.Compare(hashOf(ident.Team(self.Name), a.Name), hashOf(ident.Team(self.Name), b.Name)))
	})
	return l
}

func hashOf(t ident.Team, v ident.VM) uint64 {
	return xxhash.Sum64String(string(t) + "/" + string(v))
}
