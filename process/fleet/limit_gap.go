package fleet

import (
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// A target that names a limit may get limitFactor times as many requests in any limitWindow as the limit allows, plus
// limitSlack, from all members together.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

const (
	// limitSenderShare is the share of the requests in excess of the limit that the senders use up if all of them send
	// one at the beginning of a window. The rest is left for members that briefly see a different list of members.
	limitSenderShare = 0.4
	// trialShare is the share of the limit for the members that are no senders. They have to send a request now and then
	// to learn whether the target still names a limit, if its responses to probes don't show it. minTrialRate is the least
	// rate of these requests, from all members together.
	trialShare   = 0.1
	minTrialRate = 0.1
	// maxLimitGap bounds the gap of a member. It applies while the members are unknown.
	maxLimitGap = time.Hour
)

// limitGap returns the time between two requests of a VM to a target that takes the given rate from all members
// together. As in a warm-up, a few senders have most of the rate: each member may send one request at once, so that
// with all members as senders the bound would not hold in a large fleet.
func limitGap(l []roster.Member, self ident.VM, t ident.Target, r ident.Rate) time.Duration {
	excess := float64(r)*(limitFactor-1)*limitWindow.Seconds() + limitSlack
	n := senders(l, self, t, max(int(limitSenderShare*excess), 1))
	share := (1 - trialShare) * float64(r)
	if n == 0 || share < minTrialRate {
		n, share = len(l), max(trialShare*float64(r), minTrialRate)
	}
	if n == 0 {
		return maxLimitGap
	}
	return time.Duration(min(float64(n)/share*float64(time.Second), float64(maxLimitGap)))
}

// LimitGap returns the time between two requests of this VM to a target that takes the given rate from all members
// together.
func (f *Fleet) LimitGap(t ident.Target, r ident.Rate) time.Duration {
	return limitGap(f.catalog.Get().Members, f.self.Name, t, r)
}
