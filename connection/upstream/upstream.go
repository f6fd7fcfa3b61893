package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// Upstream is what this VM knows of one incarnation of a target; it is safe for concurrent use.
type Upstream struct {
	Target roster.Target
	direct *exchange.Direct
	clock  clock.Clock
	log    zerolog.Logger

	mu       sync.Mutex
	trust    *trust
	inFlight int
	// sent are the instants of the latest sends that the last report can't show yet.
	sent []clock.Instant
	last exchange.Report
	// coldUntil is the end of the cold start as the target last told.
	coldUntil clock.Instant
}

// Probe asks the target for a report, whose connection may carry a request.
func (u *Upstream) Probe(ctx context.Context, path string) (exchange.Report, *pool.Conn, error) {
	r, n, err := u.direct.Probe(ctx, path)
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil && u.trust.failure(u.clock.Now()) {
			u.log.Warn().Str("Target", string(u.Target.ID)).Str("Service", string(u.Target.Service)).Err(err).
				Msg("target ejected, it does not answer probes")
		}
		return r, n, err
	}
	if r.At > u.last.At {
		u.last = r
		u.coldUntil = r.At.Add(r.WarmupLeft)
	}
	return r, n, nil
}

// Release gives back a connection that a probe returned.
func (u *Upstream) Release(n *pool.Conn) {
	u.direct.Release(n)
}

// Do sends a call and notes what its end tells of the target.
func (u *Upstream) Do(ctx context.Context, n *pool.Conn, c *call.Call, check func() outcome.Reason) exchange.Result {
	r := u.direct.Do(ctx, n, c, check)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
	u.learn(r)
	return r
}

// Reserve counts a request that is about to be sent. It has to be followed by Do.
func (u *Upstream) Reserve() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
	u.trust.begin()
	now := u.clock.Now()
	u.sent = append(u.sent, now)
	for len(u.sent) > 0 && now.Sub(u.sent[0]) > reportLag {
		u.sent = u.sent[1:]
	}
}

// reportLag is how long a send can be missing in reports: the way to the target and its queue of connections.
const reportLag = 50 * time.Millisecond

// SentSince counts the requests that this VM has sent at the instant or later.
func (u *Upstream) SentSince(t clock.Instant) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, s := range u.sent {
		if s >= t {
			n++
		}
	}
	return n
}

// InFlight returns the number of this VM's requests at the target.
func (u *Upstream) InFlight() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.inFlight
}

// Usable reports whether the target is trusted, or may be tried.
func (u *Upstream) Usable() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.trust.usable(u.clock.Now())
}

// ColdUntil is the end of the cold start that the target last told in a report.
func (u *Upstream) ColdUntil() clock.Instant {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.coldUntil
}

// Last returns the last report.
func (u *Upstream) Last() exchange.Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.last
}

// Trusted reports whether the target is believed to answer.
func (u *Upstream) Trusted() bool {
	return u.Trust() == trusted
}

// Trust names the state of trust.
func (u *Upstream) Trust() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.trust.state()
}

// Connections returns how many connections to the target are open.
func (u *Upstream) Connections() int {
	return u.direct.Open()
}

// Close closes the connections to the target, those in use when their requests end.
func (u *Upstream) Close() {
	u.direct.Close()
}

// learn moves trust by how a request ended.
func (u *Upstream) learn(r exchange.Result) {
	now := u.clock.Now()
	failed := false
	switch e := r.Event.(type) {
	case outcome.Completed:
		failed = r.Status >= 500
	case outcome.Broken:
		if e.Reason == outcome.Cancelled {
			u.trust.neutral()
			return
		}
		failed = true
	case outcome.NeverWritten:
		if e.Reason != outcome.Unreachable {
			u.trust.neutral()
			return
		}
		failed = true
	default:
		failed = true
	}
	l := u.log.Info().Str("Target", string(u.Target.ID)).Str("Service", string(u.Target.Service))
	if failed {
		if u.trust.failure(now) {
			l.Int("Status", r.Status).Int("Ejections", u.trust.ejections).Msg("target ejected, its requests fail")
		}
		return
	}
	if u.trust.success() {
		l.Msg("target trusted again")
	}
}
