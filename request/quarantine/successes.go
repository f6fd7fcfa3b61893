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

// record remembers a success at the given instant, unless a later one of the request is known.
func (s *successes) record(f Fingerprint, at clock.Instant) {
	if s.since(f, at) {
		return
	}
	if len(s.newer) >= maxSuccesses {
		s.older, s.newer = s.newer, map[Fingerprint]clock.Instant{}
	}
	s.newer[f] = at
}

// last returns when the request is known to have succeeded last, or false if no success is known.
func (s *successes) last(f Fingerprint) (clock.Instant, bool) {
	if at, ok := s.newer[f]; ok {
		return at, true
	}
	at, ok := s.older[f]
	return at, ok
}

// since reports whether the request is known to have succeeded at the given instant or later.
func (s *successes) since(f Fingerprint, t clock.Instant) bool {
	at, ok := s.last(f)
	return ok && at >= t
}
