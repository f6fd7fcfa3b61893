package candidate

import (
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

const (
	// versionHold is how long a target of a version that is new at its service gets no requests, so that an order to roll
	// the version out is known before its targets are used.
	versionHold = time.Second
	// versionMemory is how long a version is remembered after its last target has gone, so that a version whose targets
	// restart is not held back again.
	versionMemory = time.Minute
)

// versionHolds remembers when the versions of each service were first seen. A nil value holds nothing back. It is safe
// for concurrent use.
type versionHolds struct {
	mu       sync.Mutex
	versions map[ident.Service]map[ident.TargetVersion]*sighting
}

// sighting is the time in which a version has been seen. usableAt is zero for the versions with which the service was
// first seen.
type sighting struct {
	usableAt clock.Instant
	last     clock.Instant
}

// HoldNewVersions makes the chooser delay the use of targets of versions that are new at their service. It must be
// called before the first choice.
func (c *Chooser) HoldNewVersions() {
	c.holds = &versionHolds{versions: map[ident.Service]map[ident.TargetVersion]*sighting{}}
}

// Observe records the versions of all registered targets. It should be called for each new view of the catalogue.
func (c *Chooser) Observe(r *roster.Roster) {
	if c.holds == nil {
		return
	}
	c.holds.observe(r.All(), c.clock.Now())
}

func (h *versionHolds) observe(targets []roster.Target, now clock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := map[ident.Service]bool{}
	for s := range h.versions {
		known[s] = true
	}
	for i := range targets {
		t := &targets[i]
		h.see(t, now, known[t.Service])
	}
	for s, l := range h.versions {
		for v, seen := range l {
			if now.Sub(seen.last) >= versionMemory {
				delete(l, v)
			}
		}
		if len(l) == 0 {
			delete(h.versions, s)
		}
	}
}

// see records that a target is registered; the lock must be held. held is whether its version is held back if it is
// new.
func (h *versionHolds) see(t *roster.Target, now clock.Instant, held bool) *sighting {
	l := h.versions[t.Service]
	if l == nil {
		l = map[ident.TargetVersion]*sighting{}
		h.versions[t.Service] = l
	}
	s := l[t.Version]
	if s == nil {
		s = &sighting{}
		if held {
			s.usableAt = now.Add(versionHold)
		}
		l[t.Version] = s
	}
	s.last = max(s.last, now)
	return s
}

// left returns how much longer a target is held back. A request may come before the view with the target has been
// observed.
func (h *versionHolds) left(t *roster.Target, now clock.Instant) time.Duration {
	if h == nil {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	l, known := h.versions[t.Service]
	s := l[t.Version]
	if s == nil {
		if !known {
			return 0
		}
		s = h.see(t, now, true)
	}
	return max(s.usableAt.Sub(now), 0)
}
