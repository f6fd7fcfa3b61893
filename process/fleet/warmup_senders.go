package fleet

import (
	"github.com/cespare/xxhash/v2"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

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
	return senders(l, self, t, max(int(warmupSenderShare*(rate*b.Factor+b.Slack)), 1))
}

// senders returns how many members may send to a target, at most n, or zero if the VM isn't one of them. They are
// chosen by hash, differently for each target.
func senders(l []roster.Member, self ident.VM, t ident.Target, n int) int {
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
	if !found || before >= n {
		return 0
	}
	return min(n, len(l))
}
