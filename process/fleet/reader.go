package fleet

import (
	"context"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// startOrStopReading makes this VM start or stop reading the store if necessary.
func (f *Fleet) startOrStopReading(ctx context.Context, started clock.Instant) {
	now := f.clock.Now()
	reading, _ := f.follower.Reading()
	reason := f.reasonToRead(now, started)
	f.mu.Lock()
	since := f.readingSince
	f.mu.Unlock()
	switch {
	case reason != "" && !reading:
		f.follower.Start(ctx, reason)
		f.mu.Lock()
		f.readingSince = now
		f.mu.Unlock()
	case reason == "" && reading && now.Sub(since) >= minReaderTime:
		f.follower.Stop("enough other readers")
	}
}

// reasonToRead returns why this VM has to read the store, or "" if it need not.
func (f *Fleet) reasonToRead(now, started clock.Instant) string {
	members := f.catalog.Get().Members
	r := rank(members, f.self.Name)
	confirmed := f.ConfirmedAt()
	fresh := f.countFreshReaders(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if r < min(desiredReaders, len(members)) && (f.existingFleet || confirmed != 0) {
		return "ranked among the preferred readers"
	}
	grace := firstStartGrace
	if f.existingFleet {
		grace = restartGrace
	}
	if confirmed == 0 && now.Sub(started) < grace {
		if now.Sub(started) >= initialReadDelay+f.startDelay(r, len(members)) && fresh == 0 {
			return "no active reader since startup"
		}
		return ""
	}
	if fresh >= desiredReaders {
		f.shortageSince = 0
	} else if f.shortageSince == 0 {
		f.shortageSince = now
	}
	delay := f.takeoverDelay(now, r, len(members))
	if now.Sub(max(confirmed, started)) >= staleAfter+delay {
		return "last confirmation by the store is stale"
	}
	if f.shortageSince != 0 && now.Sub(f.shortageSince) >= readerTimeout+2*delay {
		return "too few active readers"
	}
	return ""
}

// startDelay returns how long a member of rank r waits for a reader after its start; the lock must be held.
func (f *Fleet) startDelay(r, members int) time.Duration {
	if r < members && f.existingFleet {
		return rankDelay(r, members)
	}
	// No member has registered yet, so there are no ranks and the order is by hash alone.
	h := float64(hash(string(f.self.Name))>>32) / (1 << 32)
	return registrationDelay + lowCapacityDelay>>f.self.Capacity + time.Duration(float64(firstStartDelaySpan)*h)
}

// takeoverDelay returns how long after staleAfter a member of rank r still waits for others to read the store; the lock
// must be held.
func (f *Fleet) takeoverDelay(now clock.Instant, r, members int) time.Duration {
	t := rankDelay(r, members)
	newest, ok := f.newestConfirmation(now)
	switch {
	case !ok:
		return t
	case now.Sub(newest) < staleAfter:
		// A reader has changes that this member lacks.
		return t + fetchGrace
	default:
		// The readers get no answer from the store.
		return t + time.Duration(r/outageReaders)*outageStep
	}
}

// rankDelay returns the delay of a member of rank r within rankDelaySpan.
func rankDelay(r, members int) time.Duration {
	return time.Duration(float64(rankDelaySpan) * float64(r) / float64(max(members, 1)))
}

// countFreshReaders counts the active readers whose copy the store confirmed within readerTimeout plus staleAfter.
func (f *Fleet) countFreshReaders(now clock.Instant) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, h := range f.readers {
		if now.Sub(h.receivedAt) < readerTimeout && now.Sub(h.confirmedAt) < readerTimeout+staleAfter {
			n++
		}
	}
	return n
}

// newestConfirmation returns when the store last confirmed the copy of any active reader, and whether there is an
// active reader; the lock must be held.
func (f *Fleet) newestConfirmation(now clock.Instant) (clock.Instant, bool) {
	newest, ok := clock.Instant(0), false
	for _, h := range f.readers {
		if now.Sub(h.receivedAt) < readerTimeout {
			newest, ok = max(newest, h.confirmedAt), true
		}
	}
	return newest, ok
}
