package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// rank orders members by their capacity, then by hash, and returns the place of a VM, or the number of members when it
// isn't one. The second place goes to the first member in another data centre than that of the first, so that the loss
// of one leaves a reader.
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

// sponsorShare is the part of the starts that a cold target bears in a second that its sponsors may make at once; the
// rest is for members that see another list of members for a moment.
const sponsorShare = 0.6

// ColdBound is what all members together may start at a cold target in a second: its rate times Factor, and Slack more.
type ColdBound struct{ Factor, Slack float64 }

// sponsorsOf returns how many members share the starts at a cold target, or zero when the VM isn't one of them.
func sponsorsOf(l []roster.Member, self ident.VM, t ident.Target, rate float64, b ColdBound) int {
	sponsors := max(int(sponsorShare*(rate*b.Factor+b.Slack)), 1)
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
	if !found || before >= sponsors {
		return 0
	}
	return min(sponsors, len(l))
}
