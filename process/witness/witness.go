package witness

import (
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/lease"
)

// VersionGrace is how long a witness renews an owner whose configuration is older than its own.
const VersionGrace = time.Second

// maxVersions bounds the configuration versions whose arrival is remembered.
const maxVersions = 64

// Witness is the memory of one control process over all of its life.
type Witness struct {
	started clock.Instant
	// promised is the newest epoch that is known; nothing is ever granted under an earlier one.
	promised uint64
	// granted are the last grants, by the member whose lease it is.
	granted map[lease.Key]grant
	// heard are the instants of the last datagram, by sender.
	heard map[lease.Key]clock.Instant
	// versions are the known configuration versions, oldest first.
	versions []arrival
}

// grant is the last grant of a member's lease; its holder is the member itself or a deputy.
type grant struct {
	holder lease.Key
	at     clock.Instant
}

// arrival is the instant at which a configuration version became known.
type arrival struct {
	version ident.Version
	at      clock.Instant
}

// New returns the witness of a control process that started at the instant.
func New(started clock.Instant) *Witness {
	return &Witness{
		started: started, granted: map[lease.Key]grant{}, heard: map[lease.Key]clock.Instant{},
	}
}

// Promise moves on to an epoch; an earlier one than promised before changes nothing.
func (w *Witness) Promise(epoch uint64) {
	w.promised = max(w.promised, epoch)
}

// Promised returns the newest epoch that is known.
func (w *Witness) Promised() uint64 {
	return w.promised
}

// Learn notes that a configuration version is known from now on.
func (w *Witness) Learn(now clock.Instant, v ident.Version) {
	if n := len(w.versions); n > 0 && w.versions[n-1].version >= v {
		return
	}
	w.versions = append(w.versions, arrival{version: v, at: now})
	if len(w.versions) > maxVersions {
		// The oldest arrival stands for the dropped one: an owner that lacks both is refused by the earlier instant.
		w.versions[1].at = w.versions[0].at
		w.versions = w.versions[1:]
	}
}

// Hear notes a sign of life of a member.
func (w *Witness) Hear(now clock.Instant, k lease.Key) {
	w.heard[k] = now
}

// Silent returns how long nothing was heard of a member, counted at most from since.
func (w *Witness) Silent(now clock.Instant, k lease.Key, since clock.Instant) time.Duration {
	return now.Sub(max(w.heard[k], since))
}

// Request decides on a renewal of the subject's lease under an epoch, for a holder that has a configuration version in
// force. While a grant to one holder may last, no other one gets the lease.
func (w *Witness) Request(now clock.Instant, subject, holder lease.Key, epoch uint64, v ident.Version) bool {
	if epoch != w.promised || w.outdated(now, v) {
		return false
	}
	if g, ok := w.granted[subject]; ok && g.holder != holder && g.remaining(now) > 0 {
		return false
	}
	w.granted[subject] = grant{holder: holder, at: now}
	return true
}

func (g grant) remaining(now clock.Instant) time.Duration {
	return max(0, g.at.Add(lease.Widen(lease.Term)).Sub(now))
}

// outdated tells whether a newer version than v has been known for longer than the grace.
func (w *Witness) outdated(now clock.Instant, v ident.Version) bool {
	for _, a := range w.versions {
		if a.version > v {
			return now.Sub(a.at) > VersionGrace
		}
	}
	return false
}

// Remaining returns how long a lease that was granted to a member by this process or a predecessor can still last.
func (w *Witness) Remaining(now clock.Instant, k lease.Key) time.Duration {
	return grant{at: max(w.granted[k].at, w.started)}.remaining(now)
}

// DeputyRemaining returns how long a member's lease that this process granted to a deputy can still last.
func (w *Witness) DeputyRemaining(now clock.Instant, k lease.Key) time.Duration {
	if g, ok := w.granted[k]; ok && g.holder != k {
		return g.remaining(now)
	}
	return 0
}

// Forget drops what has no effect any more: grants that ran out and senders that are not heard.
func (w *Witness) Forget(now clock.Instant, keep func(lease.Key) bool) {
	for k := range w.granted {
		if w.Remaining(now, k) == 0 {
			delete(w.granted, k)
		}
	}
	for k := range w.heard {
		if !keep(k) {
			delete(w.heard, k)
		}
	}
}
