package allowance

import (
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
)

const (
	// KeeperCount is how many keepers a team has in a fleet of at least as many members. Without one of four keepers,
	// 0.75 of the allowance is left, which is above the usual demand of rate/1.6.
	KeeperCount = 4
	// TokenLifetime is how long after it was asked for a token may be used. Together with returnLifetime it adds 0.5 s of
	// the rate to a window of 5 s, which is the permitted overshoot of 0.1.
	TokenLifetime = 300 * time.Millisecond
	// returnLifetime is how long after a grant its keeper takes back unused tokens.
	returnLifetime = 200 * time.Millisecond
	// extraCapacity is added to the capacity of each keeper's bucket. Without it a keeper of a team with a burst below
	// four could never hold a whole token. It uses 8 of the 20 requests of the permitted slack.
	extraCapacity = 2
	// claimLifetime is how long a keeper gives out tokens after the list of keepers was proven to hold: one that does not
	// hear of another list stops by itself. Proofs are asked for every claimInterval, and are 0.8 to 1.6 s old.
	claimLifetime = 3 * time.Second
	claimInterval = 750 * time.Millisecond
	// HandoverDelay is how long a member that becomes a keeper waits before its bucket begins to fill. Its predecessor
	// has stopped by then, and the tokens that it gave out have expired.
	HandoverDelay = claimLifetime + TokenLifetime + returnLifetime
)

// Limit is the allowance of a team over all VMs together, in requests; a rate of zero means no limit.
type Limit struct {
	Rate  ident.Rate
	Burst float64
}

// Unlimited reports whether the team may send any number of requests.
func (l Limit) Unlimited() bool {
	return l.Rate <= 0
}

// rateOf returns the rate in tokens per second of one of n keepers.
func (l Limit) rateOf(n int) float64 {
	return float64(l.Rate) / float64(n)
}

// capacityOf returns the capacity in tokens of the bucket of one of n keepers.
func (l Limit) capacityOf(n int) float64 {
	return max(l.Burst, 0)/float64(n) + extraCapacity
}
