package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/ring"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/wire"
)

// The limits on suspects.
const (
	// suspicionPeriod is how long a request stays a suspect after the death of a target or after a quarantine.
	suspicionPeriod = time.Minute
	// firstQuarantinePeriod is how long a request is quarantined the first time; each further time doubles it.
	firstQuarantinePeriod = time.Minute
	maxQuarantinePeriod   = time.Hour
	maxSuspects           = 4096
	maxReports            = 1024
	// maxReportWait limits how long End waits until the other members know that the target died.
	maxReportWait = 100 * time.Millisecond
)

// Fingerprint identifies a request; it is the same for every resend.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a call.
func FingerprintOf(c *call.Call) Fingerprint {
	d := xxhash.New()
	for _, s := range []string{string(c.Service), c.Method, c.Path} {
		_, _ = d.WriteString(s + "\n")
	}
	_, _ = d.Write(c.Body)
	return Fingerprint(d.Sum64())
}

// Table records which requests were in flight at targets that died. It is safe for concurrent use.
type Table struct {
	clock      clock.Clock
	reportWait time.Duration
	reports    *ring.Ring[report]
	// broadcasting is true while Broadcast sends the reports to the other members.
	broadcasting atomic.Bool

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	inFlight map[attemptKey][]clock.Instant
}

// report is an observation that is yet to be sent to the other members.
type report struct {
	item      *wire.QuarantineItem
	delivered chan struct{}
}

// attemptKey identifies the attempts of a request at a target.
type attemptKey struct {
	fingerprint Fingerprint
	upstream    ident.Upstream
}

// suspect is a request that was in flight at a target that died.
type suspect struct {
	// lastDeadTarget is the target whose death was counted last.
	lastDeadTarget ident.Upstream
	// countFrom is when that death was recorded or, if it led to a quarantine, when that one ends. Only attempts that
	// began later can count again.
	countFrom clock.Instant
	// quarantinedUntil is when the last quarantine ends, and quarantines is how many there have been.
	quarantinedUntil clock.Instant
	quarantines      int
}

// New returns an empty table.
func New(c clock.Clock) *Table {
	return &Table{
		clock: c, reportWait: maxReportWait, reports: ring.New[report](maxReports),
		suspects: map[Fingerprint]*suspect{}, inFlight: map[attemptKey][]clock.Instant{},
	}
}

// Quarantined reports whether the request is quarantined, so that it must not reach any upstream.
func (t *Table) Quarantined(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.suspects[f]
	return ok && t.clock.Now() < s.quarantinedUntil
}

// Begin records that the request is about to be written to an upstream.
func (t *Table) Begin(f Fingerprint, u ident.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := attemptKey{fingerprint: f, upstream: u}
	t.inFlight[k] = append(t.inFlight[k], t.clock.Now())
}

// End records how the attempt of the request at the upstream ended. If the target died, End returns only once the
// other members know, or after maxReportWait, so that a resend through another member can't overtake the report.
func (t *Table) End(f Fingerprint, u ident.Upstream, e outcome.Event) {
	delivered := t.recordEnd(f, u, e)
	if delivered == nil || !t.broadcasting.Load() {
		return
	}
	select {
	case <-delivered:
	case <-time.After(t.reportWait):
	}
}

// recordEnd returns a channel that is closed once the other members know of a death, or nil if there is nothing to
// wait for.
func (t *Table) recordEnd(f Fingerprint, u ident.Upstream, e outcome.Event) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	began := t.removeOldest(attemptKey{fingerprint: f, upstream: u})
	switch v := e.(type) {
	case outcome.Completed:
		if _, ok := t.suspects[f]; ok {
			delete(t.suspects, f)
			t.reports.Replace(report{item: &wire.QuarantineItem{Fingerprint: uint64(f)}, delivered: make(chan struct{})})
		}
	case outcome.Broken:
		if v.Reason != outcome.Reset && v.Reason != outcome.Truncated {
			return nil
		}
		t.recordDeath(f, u, began)
		r := report{delivered: make(chan struct{}), item: &wire.QuarantineItem{
			Fingerprint: uint64(f), Upstream: string(u), AgeMs: t.clock.Now().Sub(began).Milliseconds(),
		}}
		t.reports.Replace(r)
		return r.delivered
	}
	return nil
}

// Apply records what another member observed.
func (t *Table) Apply(m *wire.QuarantineNews) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range m.GetItems() {
		f := Fingerprint(i.GetFingerprint())
		if i.GetUpstream() == "" {
			delete(t.suspects, f)
			continue
		}
		began := t.clock.Now().Add(-time.Duration(i.GetAgeMs()) * time.Millisecond)
		t.recordDeath(f, ident.Upstream(i.GetUpstream()), began)
	}
}

// Len returns the number of suspects.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects)
}

// removeOldest removes the oldest attempt of the request at the target and returns when it began.
func (t *Table) removeOldest(k attemptKey) clock.Instant {
	l := t.inFlight[k]
	if len(l) == 0 {
		return t.clock.Now()
	}
	if len(l) == 1 {
		delete(t.inFlight, k)
	} else {
		t.inFlight[k] = l[1:]
	}
	return l[0]
}

// recordDeath counts the death of a target against a request whose attempt there began at the given instant.
func (t *Table) recordDeath(f Fingerprint, u ident.Upstream, began clock.Instant) {
	now := t.clock.Now()
	s, ok := t.suspects[f]
	if ok && s.expired(now) {
		ok = false
	}
	if !ok {
		t.makeRoom(now)
		t.suspects[f] = &suspect{lastDeadTarget: u, countFrom: now}
		return
	}
	if now < s.quarantinedUntil || began <= s.countFrom {
		return
	}
	if s.quarantines == 0 && u == s.lastDeadTarget {
		return
	}
	s.quarantinedUntil = now.Add(min(firstQuarantinePeriod<<s.quarantines, maxQuarantinePeriod))
	s.countFrom = s.quarantinedUntil
	s.lastDeadTarget = u
	s.quarantines++
}

// expired reports whether the suspicion period after the last counted death and after the last quarantine has passed.
func (s *suspect) expired(now clock.Instant) bool {
	return now >= max(s.countFrom, s.quarantinedUntil).Add(suspicionPeriod)
}

// makeRoom removes expired suspects when the table is full and, if that isn't enough, the one that expires first.
func (t *Table) makeRoom(now clock.Instant) {
	if len(t.suspects) < maxSuspects {
		return
	}
	var first Fingerprint
	var earliest clock.Instant
	for f, s := range t.suspects {
		if s.expired(now) {
			delete(t.suspects, f)
			continue
		}
		if e := max(s.countFrom, s.quarantinedUntil); earliest == 0 || e < earliest {
			first, earliest = f, e
		}
	}
	if len(t.suspects) >= maxSuspects {
		delete(t.suspects, first)
	}
}
