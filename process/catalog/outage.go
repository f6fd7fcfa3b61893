package catalog

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// servedSpan is a span in which the store has answered readers without an outage in which registrations can expire.
type servedSpan struct{ from, to clock.Instant }

// extend adds a span in which the store has answered some reader. After an outage a later span replaces the known one.
func (s *servedSpan) extend(o servedSpan) {
	switch {
	case s.to == 0 || o.from.Sub(s.to) >= minExpiryOutage:
		*s = o
	case s.from.Sub(o.to) < minExpiryOutage:
		*s = servedSpan{from: min(s.from, o.from), to: max(s.to, o.to)}
	}
}

// RecordServed records that the store has answered readers, this VM or others, from one instant to another without an
// outage of minExpiryOutage.
func (g *Catalog) RecordServed(from, to clock.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.served.extend(servedSpan{from: from, to: to})
}

// ServedFor returns for how long before an instant the store is known to have answered readers without an outage.
func (g *Catalog) ServedFor(at clock.Instant) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at < g.served.from || at > g.served.to {
		return 0
	}
	return at.Sub(g.served.from)
}

// StoreRegained records that the store answers a reader again after an outage. Targets whose registrations expired
// meanwhile have the given time to register again before they are removed, unless the store has answered other readers
// all the while: then it was only that reader that could not reach it.
func (g *Catalog) StoreRegained(retain time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outageGraceEnd = max(g.outageGraceEnd, g.clock.Now().Add(retain))
}

// RetainFor returns how much longer missing targets are retained.
func (g *Catalog) RetainFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.graceEnd().Sub(g.clock.Now()), 0)
}

// graceEnd returns until when missing targets are retained; the lock must be held. Targets can register again as soon
// as the store answers any reader, so the grace period begins with the span in which it does.
func (g *Catalog) graceEnd() clock.Instant {
	end := g.outageGraceEnd
	if g.clock.Now().Sub(g.served.to) < minExpiryOutage {
		end = min(end, g.served.from.Add(reregisterGrace))
	}
	return max(end, g.eraGraceEnd)
}
