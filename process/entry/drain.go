package entry

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// The time limits of a planned stop.
const (
	// unreadyDelay gives the platform's load balancer time to notice that the VM is no longer ready.
	unreadyDelay = time.Second
	// leaveTimeout bounds how long the stop waits until this member has left the epoch, so that others own its shards.
	leaveTimeout = 3 * time.Second
	// drainTimeout bounds the whole stop, most of which is spent waiting for requests in flight.
	drainTimeout = 30 * time.Second
	// drainPollInterval is the interval between checks of a condition that the stop waits for.
	drainPollInterval = 10 * time.Millisecond
)

// drain performs a planned stop: the VM reports that it isn't ready, its shards pass to other members, requests in
// flight complete, and then the servers shut down, the operators' server last.
func (e *Entry) drain(servers []*http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	e.stopping.Store(true)
	e.log.Info().Msg("planned stop begins")
	waitFor(ctx, time.After(unreadyDelay))
	e.leaveNotice.Replace(struct{}{})
	e.pollUntil(ctx, leaveTimeout, e.leftEpoch)
	e.pollUntil(ctx, drainTimeout, e.drained)
	var l []error
	for _, s := range servers {
		l = append(l, s.Shutdown(ctx))
	}
	for _, n := range e.listeners {
		l = append(l, n.Wait(ctx))
	}
	e.claimer.Drain()
	e.log.Info().Msg("planned stop ends")
	return errors.Join(l...)
}

// leftEpoch reports whether this member is no longer part of the epoch in the current view.
func (e *Entry) leftEpoch() bool {
	v := e.views.Get()
	for _, m := range v.Epoch.GetMembers() {
		if m.GetId() == string(v.Self) {
			return false
		}
	}
	return true
}

// drained reports whether no request is in flight at upstreams and, if this member has left the epoch, the handover of
// every shard to its new owner is complete or has timed out.
func (e *Entry) drained() bool {
	return e.dispatcher.InFlight() == 0 && (!e.leftEpoch() || e.dispatcher.HandoversDone())
}

// pollUntil waits until the condition holds, but no longer than d.
func (e *Entry) pollUntil(ctx context.Context, d time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	for ctx.Err() == nil && !done() {
		waitFor(ctx, time.After(drainPollInterval))
	}
}
