package fleet

import (
	"context"

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
	case reason == "" && reading && now.Sub(since) >= minReaderTime && f.isSurplusReader(now):
		f.follower.Stop("enough other readers")
	}
}

// isSurplusReader reports whether enough fresh readers come before this VM in the order of rank or, if the store does
// not answer this VM, whether there are enough at all. Readers that only counted the others would all stop together
// when the preferred ones are gone.
func (f *Fleet) isSurplusReader(now clock.Instant) bool {
	_, confirmed := f.follower.Reading()
	t := f.topology()
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for v, h := range f.readers {
		if h.isFresh(now) && (t.rank(v) < t.rank(f.self.Name) || now.Sub(confirmed) >= staleAfter) {
			n++
		}
	}
	return n >= desiredReaders
}

// isFresh reports whether a reader is active and the store has confirmed its copy within readerTimeout plus staleAfter.
func (r *readerState) isFresh(now clock.Instant) bool {
	return now.Sub(r.receivedAt) < readerTimeout && now.Sub(r.confirmedAt) < readerTimeout+staleAfter
}

// reasonToRead returns why this VM has to read the store, or "" if it need not.
func (f *Fleet) reasonToRead(now, started clock.Instant) string {
	t := f.topology()
	s := readerSituation{
		now: now, started: started, confirmed: f.ConfirmedAt(), rank: t.rank(f.self.Name), members: t.size,
		freshReaders: f.countFreshReaders(now), capacity: f.self.Capacity,
		hash: float64(hash(string(f.self.Name))>>32) / (1 << 32),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Without any fresh reader the copy becomes stale, which is a reason of its own.
	switch {
	case s.freshReaders == 0 || s.freshReaders >= desiredReaders:
		f.shortageSince = 0
	case f.shortageSince == 0:
		f.shortageSince = now
	}
	s.existingFleet, s.shortageSince, s.behindSince = f.existingFleet, f.shortageSince, f.behindSince
	s.newestConfirmation, s.hasActiveReader = f.newestConfirmation(now)
	s.silentBefore, s.silent = f.presence.countSilent(t, s.rank)
	return s.reasonToRead()
}

// countFreshReaders counts the fresh readers other than this VM.
func (f *Fleet) countFreshReaders(now clock.Instant) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, h := range f.readers {
		if h.isFresh(now) {
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
