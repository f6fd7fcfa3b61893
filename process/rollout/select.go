package rollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// deciderCount is the number of members that decide on the orders of a service. Three of them must be in touch with
// each other to let the new version be used, so two may be dead or out of reach.
const deciderCount = 5

// Deciders returns the members that decide on the orders of the service, lowest rank first, out of the members that are
// considered alive. They are chosen by rendezvous hashing, in different data centres as far as possible.
func Deciders(s ident.Service, members []roster.Member) []roster.Member {
	byHash := rankMembers("decider/"+string(s), members)
	var chosen []roster.Member
	for len(chosen) < deciderCount && len(byHash) > 0 {
		// Each round takes at most one more member of each data centre.
		used := map[ident.DataCentre]bool{}
		var rest []roster.Member
		for _, m := range byHash {
			if len(chosen) < deciderCount && !used[m.DataCentre] {
				used[m.DataCentre] = true
				chosen = append(chosen, m)
				continue
			}
			rest = append(rest, m)
		}
		byHash = rest
	}
	return chosen
}

// hasCredit reports whether the VM may send one request to the new version before its share allows it. At most a third
// of the slack is given out, since a VM that restarts gets its credit again.
func hasCredit(o *Order, vm ident.VM, members []roster.Member, slack float64) bool {
	n := int(slack / 3)
	for i, m := range rankMembers("credit/"+string(o.Service)+"/"+string(o.Version), members) {
		if i >= n {
			return false
		}
		if m.Name == vm {
			return true
		}
	}
	return false
}

// rankMembers returns the members by their rendezvous hash with the key, highest first.
func rankMembers(key string, members []roster.Member) []roster.Member {
	return sortByHash(members, func(m *roster.Member) string { return key + "/" + string(m.Name) })
}

// Subset returns the new targets to which the new version's share of the requests goes while probing, so that each of
// them carries about the load that it will carry later. turn selects one of the subsets; later turns use other targets,
// so that a slow machine can be told from a slow version.
func Subset(s ident.Service, turn int, share ident.Share, targets []roster.Target) []roster.Target {
	if len(targets) == 0 {
		return nil
	}
	key := "probe/" + string(s) + "/"
	l := sortByHash(targets, func(t *roster.Target) string { return key + string(t.ID) })
	n := max(1, int(math.Round(float64(share)*float64(len(l)))))
	first := turn * n % len(l)
	var chosen []roster.Target
	for i := range n {
		chosen = append(chosen, l[(first+i)%len(l)])
	}
	return chosen
}

// sortByHash returns the elements by the hashes of their keys, highest first.
func sortByHash[T any](l []T, key func(*T) string) []T {
	type ranked struct {
		hash uint64
		at   int
	}
	byHash := make([]ranked, len(l))
	for i := range l {
		byHash[i] = ranked{hash: xxhash.Sum64String(key(&l[i])), at: i}
	}
	slices.SortFunc(byHash, func(a, b ranked) int {
		if a.hash != b.hash {
			return cmp.Compare(b.hash, a.hash)
		}
		return cmp.Compare(key(&l[a.at]), key(&l[b.at]))
	})
	sorted := make([]T, len(l))
	for i, r := range byHash {
		sorted[i] = l[r.at]
	}
	return sorted
}

// hash32 returns the hash that stands for a name in reports; it is never zero.
func hash32(s string) uint32 {
	return max(uint32(xxhash.Sum64String(s)), 1)
}
