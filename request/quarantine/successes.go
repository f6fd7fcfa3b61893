package quarantine

import "github.com/amaranthramp/amaranthramp/process/clock"

// maxSuccesses bounds the successes of one generation.
const maxSuccesses = 2048

// successes remembers when requests last succeeded. It holds two generations: when the newer one is full, it replaces
// the older one.
type successes struct {
	newer, older map[Fingerprint]clock.Instant
}

func newSuccesses() successes {
	return successes{newer: map[Fingerprint]clock.Instant{}, older: map[Fingerprint]clock.Instant{}}
}

func (s *successes) record(f Fingerprint, now clock.Instant) {
	if len(s.newer) >= maxSuccesses {
		s.older, s.newer = s.newer, map[Fingerprint]clock.Instant{}
	}
	s.newer[f] = now
}

// since reports whether the request is known to have succeeded at the given instant or later.
func (s *successes) since(f Fingerprint, t clock.Instant) bool {
	at, ok := s.newer[f]
	if !ok {
		at, ok = s.older[f]
	}
	return ok && at >= t
}
