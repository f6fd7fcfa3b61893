package caller

import (
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

const (
	// ageWindow is for how long the longest time left of a route counts, at least.
	ageWindow = 5 * time.Second
	// minAge is the difference to the longest time left below which a request counts as a caller's first attempt. It
	// covers differences in the time from a caller to a VM.
	minAge = 50 * time.Millisecond
)

// Ages estimates how long ago callers sent their first attempts of requests: callers of one route begin with the same
// time to wait, so that one with less time left has waited before. It is safe for concurrent use.
type Ages struct {
	mu     sync.Mutex
	routes map[ident.Route]*longestLeft
}

// longestLeft holds the longest times left in the current window and in the one before.
type longestLeft struct {
	current, previous time.Duration
	began             clock.Instant
}

// NewAges returns an estimator that has seen no request.
func NewAges() *Ages {
	return &Ages{routes: map[ident.Route]*longestLeft{}}
}

// Observe records a request that has just arrived with the given time left, and returns the estimated time since the
// caller's first attempt; zero if it is the first one.
func (a *Ages) Observe(now clock.Instant, r ident.Route, left time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, ok := a.routes[r]
	if !ok {
		l = &longestLeft{began: now}
		a.routes[r] = l
	}
	switch age := now.Sub(l.began); {
	case age >= 2*ageWindow:
		l.previous, l.current, l.began = 0, 0, now
	case age >= ageWindow:
		l.previous, l.current, l.began = l.current, 0, now
	}
	l.current = max(l.current, left)
	if d := max(l.current, l.previous) - left; d >= minAge {
		return d
	}
	return 0
}
