package quarantine

import (
	"slices"
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

// FingerprintOf returns the fingerprint of a call within a scope, such as its service or host. Calls of different
// teams are different requests, since a target may run them differently.
func FingerprintOf(scope string, c *call.Call) Fingerprint {
	d := xxhash.New()
	for _, s := range []string{scope, c.Method, c.Path} {
		_, _ = d.WriteString(s + "\n")
	}
	_, _ = d.Write(c.Body)
	if c.Team != "" {
		_, _ = d.WriteString("\nteam " + string(c.Team))
	}
	return Fingerprint(d.Sum64())
}

// Table records which requests were in flight at targets that died. It is safe for concurrent use.
type Table struct {
	clock clock.Clock
	// deaths is how many different targets must die for a request to be quarantined.
	deaths     int
	reportWait time.Duration
	reports    *ring.Ring[report]
	// broadcasting is true while Broadcast sends the reports to the other members.
	broadcasting atomic.Bool

	mu        sync.Mutex
	suspects  map[Fingerprint]*suspect
	successes successes
	inFlight  map[attemptKey][]clock.Instant
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
	// deadTargets are the targets whose deaths were counted before the first quarantine, and firstDeath is when the first
	// of them died.
	deadTargets []ident.Upstream
	firstDeath  clock.Instant
	// countFrom is when the last of these deaths was recorded or, if it led to a quarantine, when that one ends. Only
	// attempts that began later can count again.
	countFrom clock.Instant
	// quarantinedUntil is when the last quarantine ends, and quarantines is how many there have been.
	quarantinedUntil clock.Instant
	quarantines      int
}

// New returns an empty table; deaths is how many different targets must die for a request to be quarantined.
func New(c clock.Clock, deaths int) *Table {
	return &Table{
		clock: c, deaths: deaths, successes: newSuccesses(), reportWait: maxReportWait, reports: ring.New[report](maxReports),
		suspects: map[Fingerprint]*suspect{}, inFlight: map[attemptKey][]clock.Instant{},
	}
}

// Quarantined reports whether the request is quarantined, so that it must not reach any upstream.
func (t *Table) Quarantined(f Fingerprint) bool {
	return t.QuarantinedFor(f) > 0
}

// QuarantinedFor returns how much longer the request is quarantined; zero if it is not.
func (t *Table) QuarantinedFor(f Fingerprint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.suspects[f]
	if !ok {
		return 0
	}
	return max(s.quarantinedUntil.Sub(t.clock.Now()), 0)
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
		t.successes.record(f, t.clock.Now())
		if _, ok := t.suspects[f]; ok {
			t.clear(f)
		}
	case outcome.Broken:
		if v.Reason != outcome.Reset && v.Reason != outcome.Truncated {
			return nil
		}
		r := newReport(&wire.QuarantineItem{
			Fingerprint: uint64(f), Upstream: string(u), AgeMs: t.clock.Now().Sub(began).Milliseconds(),
		})
		t.reports.Replace(r)
		t.recordDeath(f, u, began)
		return r.delivered
	}
	return nil
}

func newReport(i *wire.QuarantineItem) report {
	return report{item: i, delivered: make(chan struct{})}
}

// clear removes a suspect whose success is recorded, and reports that to the other members with the age of the success,
// since one that they took for new would also clear deaths after it; the lock must be held.
func (t *Table) clear(f Fingerprint) {
	delete(t.suspects, f)
	i := &wire.QuarantineItem{Fingerprint: uint64(f)}
	if at, ok := t.successes.last(f); ok {
		i.AgeMs = t.clock.Now().Sub(at).Milliseconds()
	}
	t.reports.Replace(newReport(i))
}

// Apply records what another member observed.
func (t *Table) Apply(m *wire.QuarantineNews) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range m.GetItems() {
		f := Fingerprint(i.GetFingerprint())
		at := t.clock.Now().Add(-time.Duration(i.GetAgeMs()) * time.Millisecond)
		switch {
		case i.GetQuarantinedMs() > 0:
			t.applyQuarantine(f, i)
		case i.GetUpstream() == "":
			delete(t.suspects, f)
			t.successes.record(f, at)
		default:
			t.recordDeath(f, ident.Upstream(i.GetUpstream()), at)
		}
	}
}

// applyQuarantine applies a quarantine that another member has found. If the request has succeeded here since the first
// of the deaths, it is not their cause: the quarantine is lifted everywhere.
func (t *Table) applyQuarantine(f Fingerprint, i *wire.QuarantineItem) {
	now := t.clock.Now()
	firstDeath := now.Add(-time.Duration(i.GetAgeMs()) * time.Millisecond)
	if t.successes.since(f, firstDeath) {
		t.clear(f)
		return
	}
	s, ok := t.suspects[f]
	if !ok {
		t.makeRoom(now)
		s = &suspect{firstDeath: firstDeath}
		t.suspects[f] = s
	}
	period := min(time.Duration(i.GetQuarantinedMs())*time.Millisecond, maxQuarantinePeriod)
	s.quarantinedUntil = max(s.quarantinedUntil, now.Add(period))
	s.countFrom = s.quarantinedUntil
	s.quarantines = max(s.quarantines, int(i.GetQuarantines()))
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
		t.suspects[f] = &suspect{deadTargets: []ident.Upstream{u}, firstDeath: now, countFrom: now}
		return
	}
	if now < s.quarantinedUntil || began <= s.countFrom {
		return
	}
	if s.quarantines == 0 {
		if slices.Contains(s.deadTargets, u) {
			return
		}
		s.deadTargets = append(s.deadTargets, u)
		s.countFrom = now
		if len(s.deadTargets) < t.deaths {
			return
		}
	}
	if t.successes.since(f, s.firstDeath) {
		t.clear(f)
		return
	}
	s.quarantinedUntil = now.Add(min(firstQuarantinePeriod<<s.quarantines, maxQuarantinePeriod))
	s.countFrom = s.quarantinedUntil
	s.quarantines++
	t.reports.Replace(newReport(s.item(f, now)))
}

// item returns the message by which other members learn of the quarantine. Its last millisecond counts as a whole one,
// since an item without a time left reports a success.
func (s *suspect) item(f Fingerprint, now clock.Instant) *wire.QuarantineItem {
	return &wire.QuarantineItem{
		Fingerprint: uint64(f), AgeMs: now.Sub(s.firstDeath).Milliseconds(),
		QuarantinedMs: max(s.quarantinedUntil.Sub(now).Milliseconds(), 1), Quarantines: uint32(s.quarantines),
	}
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
