package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// rank returns the rank of a VM among the members, ordered by capacity and then by hash; for a VM that isn't a member
// it returns the number of members. Rank 1 goes to the first member in another data centre than that of rank 0, so that
// a reader remains when one data centre is lost.
func rank(l []roster.Member, self ident.VM) int {
	l = slices.Clone(l)
	slices.SortFunc(l, func(a, b roster.Member) int {
		return cmp.Or(
			cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(hash(string(a.Name)), hash(string(b.Name))),
			cmp.Compare(a.Name, b.Name),
		)
	})
	for i := range l {
		if i > 0 && l[i].DataCentre != l[0].DataCentre {
			m := l[i]
			l = slices.Insert(slices.Delete(l, i, i+1), 1, m)
			break
		}
	}
	for i := range l {
		if l[i].Name == self {
			return i
		}
	}
	return len(l)
}

func hash(s string) uint64 {
	return xxhash.Sum64String(s)
}

// warmupSenderShare times the rate of WarmupRateBound is the number of members that may start requests at a target in
// its cold start. If all of them start a request at once, they use this share of the bound. The rest is left for
// members that briefly see a different list of members and therefore also count themselves among the senders.
const warmupSenderShare = 0.6

// WarmupRateBound bounds the requests per second that all members together may start at a target in its cold start: the
// rate that the target can bear, times Factor, plus Slack.
type WarmupRateBound struct{ Factor, Slack float64 }

// warmupSenders returns how many members may start requests at a target in its cold start, or zero if the VM isn't one
// of them. Each target has its own senders, chosen by hash.
func warmupSenders(l []roster.Member, self ident.VM, t ident.Target, rate float64, b WarmupRateBound) int {
	senders := max(int(warmupSenderShare*(rate*b.Factor+b.Slack)), 1)
	mine := hash(string(t) + "/" + string(self))
	before := 0
	found := false
	for _, m := range l {
		if m.Name == self {
			found = true
			continue
		}
		if hash(string(t)+"/"+string(m.Name)) < mine {
			before++
		}
	}
	if !found || before >= senders {
		return 0
	}
	return min(senders, len(l))
}
