package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/detour"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/request/quarantine"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// maxDetours is how many members a request may be sent through, one after the other.
const maxDetours = 2

// minDetourTime is the time left until the deadline below which a request isn't sent through another VM: that one would
// not have the time to answer that it has not sent the request.
const minDetourTime = 2 * minForwardedAnswerTime

// detourAttempt is the attempt number of a call that goes through another VM. With a number above 1 the exchange waits
// for a late answer, since a member with one slow request looks like one that does not respond.
const detourAttempt ident.Attempt = 2

// needsDetour reports whether the next attempt goes through another VM: this VM is partitioned from the service, or has
// just found no target that responds, and the request may still be sent to a target.
func (r *Relay) needsDetour(s *requestState) bool {
	if s.forwarded || s.noMember || s.call.Deadline.Sub(r.clock.Now()) < minDetourTime || len(s.detours) >= maxDetours {
		return false
	}
	return s.arrivals < max(s.route.MaxAttempts, 1) && (s.pathFailed || r.detours.Partitioned(s.call.Service))
}

// attemptThrough makes one attempt through another VM and reports whether the retry rules allow another one. The other
// VM makes the retries that the route allows, so that its answer is final unless it could not pass the request on.
func (r *Relay) attemptThrough(ctx context.Context, s *requestState, m *roster.Member) (call.Answer, bool) {
	c := s.call
	s.detours = append(s.detours, m.Name)
	c.Attempt, c.MaxAttempts, c.Objective = detourAttempt, max(s.route.MaxAttempts, 1)-s.arrivals, 0
	if o := s.route.LatencyObjective; o > 0 {
		c.Objective = s.started.Add(o)
	}
	// The other VM may send the request at any time from now on.
	s.retry.Sent()
	began := r.clock.Now()
	a := r.detours.Forward(ctx, m, c)
	r.log.Info().Str("Request", string(c.ID)).Str("Member", string(m.Name)).Str("DataCentre", string(m.DataCentre)).
		Str("End", eventName(a.Event)).Str("Reason", string(a.Reason)).Int("Status", a.Status).
		Dur("Took", r.clock.Now().Sub(began)).Msg("attempt through another VM ended")
	d := s.history.Decide(a.Event, c.Idempotent)
	a.SetOutcome(d.Outcome)
	if detour.NotPassedOn(&a) {
		s.pathFailed = true
		a.RetryAfter = retryDelay
		return a, true
	}
	s.arrivals++
	if e, ok := a.Event.(outcome.OwnerUnresponsive); ok {
		if e.Reason == outcome.Expired {
			a.Status = http.StatusGatewayTimeout
		}
		return a, d.Retry && ctx.Err() == nil
	}
	return a, false
}

// DoForwarded sends a call to a target for another VM, which has no path to the targets. The other VM has chosen the
// service and counts the first attempt; this VM never sends the call through a third one. The table is the one under
// which the call was read. If this VM can't accept the API key of the call, it refuses it as one that it has no path
// for, so that the other VM tries a third one.
func (r *Relay) DoForwarded(ctx context.Context, t *route.Table, c *call.Call) call.Answer {
	v, ok := t.Services[c.Service]
	if !ok {
		return notRunResponse(outcome.NoService)
	}
	if r.detours.Partitioned(c.Service) {
		return notRunResponse(outcome.Unreachable)
	}
	now := r.clock.Now()
	o := &route.Route{
		Name: ident.Route(c.Class), Host: c.Host, Idempotent: c.Idempotent, MaxAttempts: max(c.MaxAttempts, 1),
		Priority: c.Priority,
	}
	if known, ok := t.Find(c.Host, c.RoutePath()); ok {
		o.Priority = known.Priority
	}
	if c.Objective != 0 {
		o.LatencyObjective = max(c.Objective.Sub(now), time.Millisecond)
	}
	s := &requestState{
		call: c, route: o, service: v, started: now, forwarded: true, hasTeams: t.Teams != nil,
	}
	if !r.acceptsKey(t, s) {
		return notRunResponse(outcome.Unreachable)
	}
	// The team, which the fingerprint depends on, is known only now.
	s.fingerprint = quarantine.FingerprintOf(c.Host, c)
	c.SendBy, s.admission = s.sendBy(), s.newAdmission()
	a := r.runAttempts(ctx, s)
	if s.pathFailed && s.arrivals == 0 && a.Outcome == outcome.NotRun {
		a = notRunResponse(outcome.Unreachable)
	}
	r.logAnswer(s, t.Version, &a).Msg("forwarded request answered")
	return a
}
