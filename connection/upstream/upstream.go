package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/partition"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// Upstream holds what this VM knows of one incarnation of a target; it is safe for concurrent use.
type Upstream struct {
	Target roster.Target
	client *exchange.TargetClient
	clock  clock.Clock
	log    zerolog.Logger
	// contacts records whether the target responds.
	contacts *partition.Detector

	mu       sync.Mutex
	trust    *trust
	notices  notices
	inFlight int
	// limitPhase is the part of the gap after which this VM sends its first request to a target that names a limit.
	limitPhase ident.Share
	// lastRecheck is when a probe was last due that shows whether the target still names its limit.
	lastRecheck clock.Instant
	// recentSends are the times of the latest sends, which the last report may not count yet.
	recentSends []clock.Instant
	lastReport  exchange.Report
	// warmupEnd is the end of the target's warm-up according to its last report.
	warmupEnd clock.Instant
}

// Probe requests a load report from the target. The returned connection, unless nil, may carry a request.
func (u *Upstream) Probe(ctx context.Context, path string) (exchange.Report, *pool.Conn, error) {
	began := u.clock.Now()
	r, n, err := u.client.Probe(ctx, path)
	switch {
	case err == nil:
		u.contacts.Answered(u.Target.Service, u.clock.Now())
	case !errors.Is(err, pool.ErrFull):
		u.contacts.Failed(u.Target.Service, u.Target.ID, began)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		// A full pool says nothing about the target.
		if ctx.Err() == nil && !errors.Is(err, pool.ErrFull) && u.trust.recordFailure(u.clock.Now()) {
			u.log.Warn().Str("Target", string(u.Target.ID)).Str("Service", string(u.Target.Service)).Err(err).
				Msg("target ejected: probe failed")
		}
		return r, n, err
	}
	if r.At > u.lastReport.At {
		u.lastReport = r
		u.warmupEnd = r.At.Add(r.WarmupLeft)
	}
	return r, n, nil
}

// Release gives a connection obtained from Probe back to the pool.
func (u *Upstream) Release(n *pool.Conn) {
	u.client.Release(n)
}

// Do sends a call and updates the trust in the target by its result.
func (u *Upstream) Do(ctx context.Context, n *pool.Conn, c *call.Call, check func() outcome.Reason) exchange.Result {
	began := u.clock.Now()
	r := u.client.Do(ctx, n, c, check)
	u.recordContact(r.Event, began)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
	u.recordResult(r)
	return r
}

// recordContact records whether the target has responded to a request that began at the given instant. A connection
// that breaks shows neither: the target may have crashed.
func (u *Upstream) recordContact(e outcome.Event, began clock.Instant) {
	switch v := e.(type) {
	case outcome.Completed, outcome.Refused:
		u.contacts.Answered(u.Target.Service, u.clock.Now())
	case outcome.NeverWritten:
		if v.Reason == outcome.Unreachable {
			u.contacts.Failed(u.Target.Service, u.Target.ID, began)
		}
	}
}

// Reserve counts a request that is about to be sent. Each Reserve must be followed by Do.
func (u *Upstream) Reserve() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
	u.trust.recordSend()
	now := u.clock.Now()
	u.recentSends = append(u.recentSends, now)
	for len(u.recentSends) > 0 && now.Sub(u.recentSends[0]) > maxReportLag {
		u.recentSends = u.recentSends[1:]
	}
}

// maxReportLag is the longest time for which a request that was sent can be missing from the target's reports: the
// network delay plus the time that the connection spends in the target's queue of connections.
const maxReportLag = 50 * time.Millisecond

// SentSince returns the number of requests that this VM has sent at time t or later. Sends older
// than maxReportLag may be missing.
func (u *Upstream) SentSince(t clock.Instant) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, s := range u.recentSends {
		if s >= t {
			n++
		}
	}
	return n
}

// InFlight returns the number of requests from this VM that are in flight to the target.
func (u *Upstream) InFlight() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.inFlight
}

// Usable reports whether the target is trusted or may get a trial request.
func (u *Upstream) Usable() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.trust.usable(u.clock.Now())
}

// Accepts reports whether the target may be sent requests and probes now: it has not announced that it leaves, and it
// has not asked for a pause.
func (u *Upstream) Accepts() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.notices.accepts(u.clock.Now())
}

// QuietFor returns how much longer the target wants no requests; zero if it does not, or if it leaves.
func (u *Upstream) QuietFor() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.notices.leaving {
		return 0
	}
	return max(u.notices.quietUntil.Sub(u.clock.Now()), 0)
}

// Limit returns how many requests the target takes from all VMs together; ok is false if it names no limit.
func (u *Upstream) Limit() (r ident.Rate, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.notices.limit, u.notices.limited
}

// Leaving reports whether the target has announced that it leaves.
func (u *Upstream) Leaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.notices.leaving
}

func (u *Upstream) currentNotices() notices {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.notices
}

// recordNotice records the notice in a response of the target; err means that a part of it can't be read.
func (u *Upstream) recordNotice(n exchange.Notice, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	before := u.notices
	u.notices = before.record(u.clock.Now(), n)
	l := u.log.Info().Str("Target", string(u.Target.ID)).Str("Service", string(u.Target.Service))
	switch {
	case err != nil:
		l.Err(err).Msg("notice of target ignored")
	case u.notices.leaving && !before.leaving:
		l.Msg("target announced that it leaves")
	case n.QuietFor > 0:
		l.Dur("Pause", n.QuietFor).Msg("target asked for a pause")
	case u.notices.limited && (!before.limited || before.limit != u.notices.limit):
		l.Float64("Limit", float64(u.notices.limit)).Bool("Probe", n.FromProbe()).Msg("target named a limit")
	case before.limited && !u.notices.limited:
		l.Bool("Probe", n.FromProbe()).Msg("target no longer names a limit")
	}
}

// WarmupEnd returns the end of the target's warm-up according to its last report.
func (u *Upstream) WarmupEnd() clock.Instant {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.warmupEnd
}

// LastReport returns the latest report of the target.
func (u *Upstream) LastReport() exchange.Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastReport
}

// Trusted reports whether the target is in the trusted state.
func (u *Upstream) Trusted() bool {
	return u.TrustState() == trusted
}

// TrustState returns the name of the trust state.
func (u *Upstream) TrustState() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.trust.state()
}

// Connections returns the number of open connections to the target.
func (u *Upstream) Connections() int {
	return u.client.OpenConnections()
}

// Close closes the connections to the target; those in use are closed when their requests end.
func (u *Upstream) Close() {
	u.client.Close()
}

// recordResult updates the trust by the result of a request.
func (u *Upstream) recordResult(r exchange.Result) {
	now := u.clock.Now()
	if !u.notices.accepts(now) {
		// A target that leaves or pauses says so with a refusal, which is no sign of a failure.
		u.trust.recordInconclusive()
		return
	}
	failed := false
	switch e := r.Event.(type) {
	case outcome.Completed:
		failed = r.Status >= 500
	case outcome.Broken:
		if e.Reason == outcome.Cancelled || e.Reason == outcome.Overload {
			// The caller has left, or this VM has no room for the response.
			u.trust.recordInconclusive()
			return
		}
		failed = true
	case outcome.NeverWritten:
		if e.Reason != outcome.Unreachable {
			u.trust.recordInconclusive()
			return
		}
		failed = true
	default:
		failed = true
	}
	l := u.log.Info().Str("Target", string(u.Target.ID)).Str("Service", string(u.Target.Service))
	if failed {
		if u.trust.recordFailure(now) {
			l.Int("Status", r.Status).Msg("target ejected: request failed")
		}
		return
	}
	if u.trust.recordSuccess() {
		l.Msg("target trusted again")
	}
}
