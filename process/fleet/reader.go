package fleet

import (
	"context"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// decide starts or ends this VM's reading of the store.
func (f *Fleet) decide(ctx context.Context, started clock.Instant) {
	now := f.clock.Now()
	reading, _ := f.follower.Reading()
	why := f.shouldRead(now, started)
	f.mu.Lock()
	since := f.since
	f.mu.Unlock()
	switch {
	case why != "" && !reading:
		f.follower.Start(ctx, why)
		f.mu.Lock()
		f.since = now
		f.mu.Unlock()
	case why == "" && reading && now.Sub(since) >= minReading:
		f.follower.Stop("enough others read")
	}
}

// shouldRead returns why this VM has to read the store, empty if it need not.
func (f *Fleet) shouldRead(now, started clock.Instant) string {
	members := f.catalog.Get().Members
	r := rank(members, f.self.Name)
	confirmed := f.Confirmed()
	ahead := f.ahead(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if r < min(readers, len(members)) && (f.known || confirmed != 0) {
		return "one of the first members"
	}
	grace := firstGrace
	if f.known {
		grace = startGrace
	}
	if confirmed == 0 && now.Sub(started) < grace {
		if now.Sub(started) >= knownTurn+f.startTurn(r, len(members)) && ahead == 0 {
			return "no reader heard since the start"
		}
		return ""
	}
	if ahead >= readers {
		f.short = 0
	} else if f.short == 0 {
		f.short = now
	}
	turn := f.turn(now, r, len(members))
	if now.Sub(max(confirmed, started)) >= staleAfter+turn {
		return "nothing confirmed in time"
	}
	if f.short != 0 && now.Sub(f.short) >= heardFor+2*turn {
		return "too few readers heard"
	}
	return ""
}

// startTurn is how long a member of a rank waits for a reader after its start; callers hold the lock.
func (f *Fleet) startTurn(r, members int) time.Duration {
	if r < members && f.known {
		return rankTurn(r, members)
	}
	// Nobody has registered yet, so the order is by the hash alone.
	h := float64(hash(string(f.self.Name))>>32) / (1 << 32)
	return firstPause + weakPause>>f.self.Capacity + time.Duration(float64(firstTurns)*h)
}

// turn is how long a member of a rank leaves it to others to read once nothing is confirmed; callers hold the lock.
func (f *Fleet) turn(now clock.Instant, r, members int) time.Duration {
	t := rankTurn(r, members)
	newest, ok := f.newestHeard(now)
	switch {
	case !ok:
		return t
	case now.Sub(newest) < staleAfter:
		// A reader has news that this member lacks.
		return t + behindGrace
	default:
		// The readers get no answer.
		return t + time.Duration(r/outageReaders)*outageTurn
	}
}

func rankTurn(r, members int) time.Duration {
	return time.Duration(float64(turns) * float64(r) / float64(max(members, 1)))
}

// ahead counts the readers that were heard lately with a confirmation that is not stale.
func (f *Fleet) ahead(now clock.Instant) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, h := range f.heard {
		if now.Sub(h.at) < heardFor && now.Sub(h.confirmed) < heardFor+staleAfter {
			n++
		}
	}
	return n
}

// newestHeard returns the last confirmation of the store to any reader that was heard lately, and whether one was;
// callers hold the lock.
func (f *Fleet) newestHeard(now clock.Instant) (clock.Instant, bool) {
	newest, ok := clock.Instant(0), false
	for _, h := range f.heard {
		if now.Sub(h.at) < heardFor {
			newest, ok = max(newest, h.confirmed), true
		}
	}
	return newest, ok
}
