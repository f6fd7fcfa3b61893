package witness

import (
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/lease"
)

// VersionGracePeriod is how long a witness still grants renewals to a holder whose configuration is older than its own.
const VersionGracePeriod = time.Second

// maxKnownVersions bounds the configuration versions that are remembered with their time of arrival.
const maxKnownVersions = 64

// Witness is the record of one control process for the whole life of the process.
type Witness struct {
	startedAt clock.Instant
	// promised is the newest known epoch. No lease is ever granted under an earlier one.
	promised uint64
	// lastGrants are the last grants, by the member that the lease belongs to.
	lastGrants map[lease.Key]grant
	// lastHeard is the time of the last datagram, by sender.
	lastHeard map[lease.Key]clock.Instant
	// knownVersions are the known configuration versions, oldest first.
	knownVersions []knownVersion
}

// grant is the last grant of a member's lease. Its holder is the member itself or a deputy.
type grant struct {
	holder    lease.Key
	grantedAt clock.Instant
}

// knownVersion is a configuration version with the time since which it has been known.
type knownVersion struct {
	version    ident.Version
	knownSince clock.Instant
}

// New returns the witness of a control process that started at the given time.
func New(started clock.Instant) *Witness {
	return &Witness{
		startedAt: started, lastGrants: map[lease.Key]grant{}, lastHeard: map[lease.Key]clock.Instant{},
	}
}

// PromiseEpoch switches to a newer epoch; an epoch that is not newer changes nothing.
func (w *Witness) PromiseEpoch(epoch uint64) {
	w.promised = max(w.promised, epoch)
}

// PromisedEpoch returns the newest known epoch.
func (w *Witness) PromisedEpoch() uint64 {
	return w.promised
}

// LearnVersion records that a configuration version is known as of now.
func (w *Witness) LearnVersion(now clock.Instant, v ident.Version) {
	if n := len(w.knownVersions); n > 0 && w.knownVersions[n-1].version >= v {
		return
	}
	w.knownVersions = append(w.knownVersions, knownVersion{version: v, knownSince: now})
	if len(w.knownVersions) > maxKnownVersions {
		// The next version takes over the time of the dropped one: a holder that lacks both is refused by the earlier time.
		w.knownVersions[1].knownSince = w.knownVersions[0].knownSince
		w.knownVersions = w.knownVersions[1:]
	}
}

// NoteAlive records that a datagram of a member arrived.
func (w *Witness) NoteAlive(now clock.Instant, k lease.Key) {
	w.lastHeard[k] = now
}

// SilentFor returns the time since the last datagram of a member, or since the given time if that is later.
func (w *Witness) SilentFor(now clock.Instant, k lease.Key, since clock.Instant) time.Duration {
	return now.Sub(max(w.lastHeard[k], since))
}

// TryGrant grants the subject's lease to a holder, which is the subject itself or its deputy, and reports whether it
// did. The epoch of the request must be the newest known one. The configuration version v that the holder uses must not
// be outdated, so that a process which gets no new configurations loses its lease. While a grant to one holder may
// still be valid, the lease is granted to no other.
func (w *Witness) TryGrant(now clock.Instant, subject, holder lease.Key, epoch uint64, v ident.Version) bool {
	if epoch != w.promised || w.isOutdated(now, v) {
		return false
	}
	if g, ok := w.lastGrants[subject]; ok && g.holder != holder && g.remaining(now) > 0 {
		return false
	}
	w.lastGrants[subject] = grant{holder: holder, grantedAt: now}
	return true
}

func (g grant) remaining(now clock.Instant) time.Duration {
	return max(0, g.grantedAt.Add(lease.AllowClockDrift(lease.Term)).Sub(now))
}

// isOutdated reports whether a version newer than v has been known for longer than the grace period.
func (w *Witness) isOutdated(now clock.Instant, v ident.Version) bool {
	for _, a := range w.knownVersions {
		if a.version > v {
			return now.Sub(a.knownSince) > VersionGracePeriod
		}
	}
	return false
}

// Remaining returns how long a lease that this process or an earlier one on its address granted to a member can still
// be valid.
func (w *Witness) Remaining(now clock.Instant, k lease.Key) time.Duration {
	return grant{grantedAt: max(w.lastGrants[k].grantedAt, w.startedAt)}.remaining(now)
}

// DeputyRemaining returns how long a member's lease that this process granted to a deputy can still be valid.
func (w *Witness) DeputyRemaining(now clock.Instant, k lease.Key) time.Duration {
	if g, ok := w.lastGrants[k]; ok && g.holder != k {
		return g.remaining(now)
	}
	return 0
}

// Prune drops entries that have no effect any more: expired grants, and senders for which keep is false.
func (w *Witness) Prune(now clock.Instant, keep func(lease.Key) bool) {
	for k := range w.lastGrants {
		if w.Remaining(now, k) == 0 {
			delete(w.lastGrants, k)
		}
	}
	for k := range w.lastHeard {
		if !keep(k) {
			delete(w.lastHeard, k)
		}
	}
}
