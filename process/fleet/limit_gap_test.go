package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// membersNamed returns n members.
func membersNamed(n int) []roster.Member {
	var l []roster.Member
	for i := range n {
		l = append(l, roster.Member{Name: ident.VM(fmt.Sprint("vm-", i))})
	}
	return l
}

// sendRate adds the request of one member with the given gap to the rate and to the burst of all members: the requests
// per second, and those within a limitWindow if all senders send at its beginning. Members that are no senders begin at
// random times.
func sendRate(gap time.Duration, known int, r ident.Rate) (rate, burst float64) {
	trialGap := min(float64(known)/max(trialShare*float64(r), minTrialRate)*1e9, float64(maxLimitGap))
	if float64(gap) < 0.9*trialGap {
		burst = 1 + float64(limitWindow/gap)
	} else {
		burst = float64(limitWindow) / float64(gap)
	}
	return float64(time.Second) / float64(gap), burst
}

func maxBurst(r ident.Rate) float64 {
	return limitFactor*float64(r)*limitWindow.Seconds() + limitSlack
}

// TestLimitGapsKeepLimit checks that the gaps of all members of a fleet add up to the limit of a target and the least
// rate of trials at most, and to most of the limit, that each member has its turn, and that the bound holds if all
// senders send at once.
func TestLimitGapsKeepLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := membersNamed(rapid.IntRange(1, 300).Draw(t, "members"))
		r := ident.Rate(rapid.Float64Range(0, 50).Draw(t, "rate"))
		rate, burst := 0.0, 0.0
		// A member that is no sender has its turn within the time that all of them need for the least rate of trials.
		longest := min(time.Duration(float64(len(l))/minTrialRate*float64(time.Second)), maxLimitGap)
		for _, m := range l {
			gap := limitGap(l, m.Name, "t", r)
			if gap <= 0 || gap > longest {
				t.Fatalf("gap is %s, want above zero and at most %s", gap, longest)
			}
			a, b := sendRate(gap, len(l), r)
			rate, burst = rate+a, burst+b
		}
		// The least rate of trials and the longest gap add to the limit, however low it is.
		extra := minTrialRate + float64(len(l))/maxLimitGap.Seconds()
		if most := float64(r) + extra; rate > most {
			t.Errorf("all members together send %.2f requests per second for a limit of %.2f, want at most %.2f", rate, r, most)
		}
		if rate < 0.85*float64(r) {
			t.Errorf("all members together send %.2f requests per second for a limit of %.2f, want at least 0.85 of it", rate, r)
		}
		if most := maxBurst(r); burst > most {
			t.Errorf("a burst of %.0f requests in %s for a limit of %.2f, want at most %.0f", burst, limitWindow, r, most)
		}
	})
}

// TestLimitGapsWhileMembersDisagree checks that the bound holds for the average target while one of ten members knows
// only half of the others, and therefore is a sender for twice as many targets.
func TestLimitGapsWhileMembersDisagree(t *testing.T) {
	const targets = 10
	rapid.Check(t, func(t *rapid.T) {
		l := membersNamed(rapid.IntRange(1, 100).Draw(t, "members"))
		r := ident.Rate(rapid.Float64Range(0, 50).Draw(t, "rate"))
		burst := 0.0
		for i, m := range l {
			known := l
			if i%10 == 9 {
				known = append(slices.Clone(l[:len(l)/2]), m)
			}
			for n := range targets {
				_, b := sendRate(limitGap(known, m.Name, ident.Target(fmt.Sprint("t-", n)), r), len(known), r)
				burst += b / targets
			}
		}
		if most := maxBurst(r); burst > most {
			t.Errorf("a burst of %.0f requests in %s for a limit of %.2f, want at most %.0f", burst, limitWindow, r, most)
		}
	})
}

// TestLimitGapWhileMembersUnknown checks that a VM that does not know the members sends next to nothing to a target
// that names a limit.
func TestLimitGapWhileMembersUnknown(t *testing.T) {
	if g := limitGap(nil, "vm", "t", 5); g != maxLimitGap {
		t.Errorf("gap is %s while the members are unknown, want %s", g, maxLimitGap)
	}
}
