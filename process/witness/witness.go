package witness

import (
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/lease"
)

// VersionGrace is how long a witness renews an owner whose configuration is older than its own.
const VersionGracePeriod = time.Second

// maxVersions bounds the configuration versions whose arrival is remembered.
const maxKnownVersions = 64

// Witness is the memory of one control process over all of its life.
type Witness struct {
	startedAt clock.Instant
	// promised is the newest epoch that is known; nothing is ever granted under an earlier one.
	promised uint64
	// granted are the last grants, by the member whose lease it is.
	lastGrants map[lease.Key]grant
	// heard are the instants of the last datagram, by sender.
	lastHeard map[lease.Key]clock.Instant
	// versions are the known configuration versions, oldest first.
	knownVersions []knownVersion
}

// grant is the last grant of a member's lease; its holder is the member itself or a deputy.
type grant struct {
	holder    lease.Key
	grantedAt clock.Instant
}

// arrival is the instant at which a configuration version became known.
type knownVersion struct {
	version    ident.Version
	knownSince clock.Instant
}

// New returns the witness of a control process that started at the instant.
func New(started clock.Instant) *Witness {
	return &Witness{
		startedAt: started, lastGrants: map[lease.Key]grant{}, lastHeard: map[lease.Key]clock.Instant{},
	}
}

// Promise moves on to an epoch; an earlier one than promised before changes nothing.
func (w *Witness) PromiseEpoch(epoch uint64) {
	w.promised = max(w.promised, epoch)
}

// Promised returns the newest epoch that is known.
func (w *Witness) PromisedEpoch() uint64 {
	return w.promised
}

// Learn notes that a configuration version is known from now on.
func (w *Witness) LearnVersion(now clock.Instant, v ident.Version) {
	if n := len(w.knownVersions); n > 0 && w.knownVersions[n-1].version >= v {
		return
	}
	w.knownVersions = append(w.knownVersions, knownVersion{version: v, knownSince: now})
	if len(w.knownVersions) > maxKnownVersions {
		// The oldest arrival stands for the dropped one: an owner that lacks both is refused by the earlier instant.
		w.knownVersions[1].knownSince = w.knownVersions[0].knownSince
		w.knownVersions = w.knownVersions[1:]
	}
}

// Hear notes a sign of life of a member.
func (w *Witness) NoteAlive(now clock.Instant, k lease.Key) {
	w.lastHeard[k] = now
}

// Silent returns how long nothing was heard of a member, counted at most from since.
func (w *Witness) SilentFor(now clock.Instant, k lease.Key, since clock.Instant) time.Duration {
	return now.Sub(max(w.lastHeard[k], since))
}

// Request decides on a renewal of the subject's lease under an epoch, for a holder that has a configuration version in
// force. While a grant to one holder may last, no other one gets the lease.
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

// outdated tells whether a newer version than v has been known for longer than the grace.
func (w *Witness) isOutdated(now clock.Instant, v ident.Version) bool {
	for _, a := range w.knownVersions {
		if a.version > v {
			return now.Sub(a.knownSince) > VersionGracePeriod
		}
	}
	return false
}

// Remaining returns how long a lease that was granted to a member by this process or a predecessor can still last.
func (w *Witness) Remaining(now clock.Instant, k lease.Key) time.Duration {
	return grant{grantedAt: max(w.lastGrants[k].grantedAt, w.startedAt)}.remaining(now)
}

// DeputyRemaining returns how long a member's lease that this process granted to a deputy can still last.
func (w *Witness) DeputyRemaining(now clock.Instant, k lease.Key) time.Duration {
	if g, ok := w.lastGrants[k]; ok && g.holder != k {
		return g.remaining(now)
	}
	return 0
}

// Forget drops what has no effect any more: grants that ran out and senders that are not heard.
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
