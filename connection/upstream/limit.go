package upstream

import (
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Gap returns the time between two requests of this VM to a target that takes the given rate from all VMs together.
type Gap func(t ident.Target, r ident.Rate) time.Duration

// nextSend returns when this VM may send the next request to a target that names a limit, given the gap between two.
// The first one is due after a part of the gap that differs between VMs, so that they don't all send at once.
func (n notices) nextSend(gap time.Duration, phase ident.Share) clock.Instant {
	if n.lastSend == 0 {
		return n.limitedAt.Add(time.Duration(float64(phase) * float64(gap)))
	}
	return n.lastSend.Add(gap)
}

// LimitWait returns how long this VM has to wait until it may send a request to the target; zero if it may do so now.
func (u *Upstream) LimitWait(g Gap) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limitWait(g)
}

// limitWait does the work of LimitWait; the lock must be held.
func (u *Upstream) limitWait(g Gap) time.Duration {
	if !u.notices.limited {
		return 0
	}
	gap := g(u.Target.ID, u.notices.limit)
	return max(u.notices.nextSend(gap, u.limitPhase).Sub(u.clock.Now()), 0)
}

// TakeLimit reports whether this VM may send a request to the target now and, if so, whether the request counts towards
// a limit that the target names.
func (u *Upstream) TakeLimit(g Gap) (ok, counted bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limitWait(g) > 0 {
		return false, false
	}
	if u.notices.limited {
		u.notices.lastSend = u.clock.Now()
	}
	return true, u.notices.limited
}

// RecheckDue reports whether a probe is due that shows if the target still names its limit, and counts it. It is never
// due if responses to probes don't name it.
func (u *Upstream) RecheckDue(interval time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.clock.Now()
	if !u.notices.limited || !u.notices.limitInProbes || now.Sub(max(u.lastReport.At, u.lastRecheck)) < interval {
		return false
	}
	u.lastRecheck = now
	return true
}
