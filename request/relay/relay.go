package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/rollout"
	"github.com/amaranthramp/amaranthramp/request/access"
	"github.com/amaranthramp/amaranthramp/request/admission"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/candidate"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/request/quarantine"
	"github.com/amaranthramp/amaranthramp/request/retry"
	"github.com/amaranthramp/amaranthramp/request/rule"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
)

const (
	// maxWaitShare is the share of the route's latency objective that a request may wait for a target with capacity.
	maxWaitShare = 0.4
	// maxWait is the longest such wait on routes without a latency objective.
	maxWait = 200 * time.Millisecond
	// minTimeLeft is the time left until the deadline below which a retry is not worth the load that it adds to a
	// target.
	minTimeLeft = 20 * time.Millisecond
	// answerShare is the share of the time left until the deadline, within minAnswerTime and maxAnswerTime, that is
	// reserved for the answer to a request that is given up. An answer at the deadline is too late: the caller, or the VM
	// that has sent the request here, no longer waits for it and can't know that the request has not run.
	answerShare   = 0.125
	minAnswerTime = 5 * time.Millisecond
	maxAnswerTime = 50 * time.Millisecond
	// minForwardedAnswerTime applies to requests of other VMs. It covers both ways through the network and the time for
	// which a busy VM of a tenth of a core may not run.
	minForwardedAnswerTime = 20 * time.Millisecond
	// defaultTimeout applies if neither the route nor the caller sets a timeout.
	defaultTimeout = 30 * time.Second
	// retryDelay is the retry delay sent to callers whose requests were refused. It is about as long as the slow
	// periods of a shared machine.
	retryDelay = 150 * time.Millisecond
)

// Chooser chooses the target of each attempt.
type Chooser interface {
	Choose(ctx context.Context, q *candidate.Query) (candidate.Choice, outcome.Reason)
}

// Detours sends requests through other VMs while this VM has no path to the targets of a service.
type Detours interface {
	// Partitioned reports whether this VM has no path to the targets of a service.
	Partitioned(s ident.Service) bool
	// Pick returns the member through which a request to a service goes next; false if there is none but those in tried.
	Pick(s ident.Service, tried []ident.VM) (roster.Member, bool)
	// Forward has a member send a call to a target, and returns the member's answer.
	Forward(ctx context.Context, m *roster.Member, c *call.Call) call.Answer
}

// Rollouts knows the state of the roll-outs of each service.
type Rollouts interface {
	// State returns the state of the roll-outs of a service, or nil if the deployment has none.
	State(s ident.Service) *rollout.State
}

// Relay handles callers' requests. It is safe for concurrent use.
type Relay struct {
	catalog *catalog.Catalog
	chooser Chooser
	detours Detours
	// rollouts is nil on deployments without roll-outs.
	rollouts Rollouts
	retries  *retry.SlidingWindow
	// quarantine refuses the requests that crash targets.
	quarantine *quarantine.Table
	// gate checks API keys.
	gate    *access.Gate
	latency *candidate.LatencyEstimator
	clock   clock.Clock
	log     zerolog.Logger
}

// New returns a relay that chooses targets with h, sends requests through other VMs with d, limits retries with b,
// refuses requests that q has quarantined and checks API keys with k. o knows the roll-outs; it is nil on deployments
// without any.
func New(
	g *catalog.Catalog, h Chooser, d Detours, o Rollouts, b *retry.SlidingWindow, q *quarantine.Table, k *access.Gate,
	c clock.Clock, l zerolog.Logger,
) *Relay {
	return &Relay{
		catalog: g, chooser: h, detours: d, rollouts: o, retries: b, quarantine: q, gate: k,
		latency: candidate.NewLatencyEstimator(), clock: c, log: l,
	}
}

// requestState is the state of one request across its attempts.
type requestState struct {
	call        *call.Call
	fingerprint quarantine.Fingerprint
	route       *route.Route
	service     route.Service
	started     clock.Instant
	// hasTeams means that the configuration had teams when the request was read, so that its header holds no API key.
	hasTeams bool
	history  rule.History
	tried    []ident.Target
	// arrivals counts the attempts in which the request may have arrived at a target.
	arrivals int
	// forwarded means that another VM has sent the request here, so that it must not go through a third one.
	forwarded bool
	// pathFailed means that an attempt found no target that responds to this VM.
	pathFailed bool
	// detours are the members through which the request has been sent, and noMember means that there was no further one.
	detours  []ident.VM
	noMember bool
	// admission is what admission control knows of the request.
	admission *admission.Request
	// retry is the retry that the current attempt is; nil for the first attempt.
	retry *retry.Retry
	// lastFailure is the last 5xx response of a target to the request, or nil. The caller gets it if no later attempt
	// succeeds.
	lastFailure *call.Answer
}

// Do sends a call along the given route of the routing table under which it was read, and returns the final response.
func (r *Relay) Do(ctx context.Context, t *route.Table, o *route.Route, c *call.Call) call.Answer {
	now := r.clock.Now()
	if c.Deadline == 0 {
		c.Deadline = now.Add(defaultTimeout)
	}
	if o.Timeout > 0 {
		c.Deadline = min(c.Deadline, now.Add(o.Timeout))
	}
	c.Service, c.Class, c.Idempotent = o.PickService(), ident.Class(o.Name), o.Idempotent
	s := &requestState{
		call: c, fingerprint: quarantine.FingerprintOf(c.Host, c), route: o, service: t.Services[c.Service], started: now,
		hasTeams: t.Teams != nil,
	}
	c.SendBy, s.admission = s.sendBy(), s.newAdmission()
	r.retries.RecordFirstAttempt(c.Service)
	a := r.runAttempts(ctx, s)
	a.Reached = s.arrivals > 0 || len(s.detours) > 0
	r.logAnswer(s, t.Version, &a).Msg("request answered")
	return a
}

// logAnswer returns the log line for the response to a request.
func (r *Relay) logAnswer(s *requestState, v ident.Version, a *call.Answer) *zerolog.Event {
	e := r.log.Info()
	if s.call.Team != "" {
		e.Str("Team", string(s.call.Team))
	}
	return e.Str("Request", string(s.call.ID)).Str("Route", string(s.route.Name)).
		Str("Service", string(s.call.Service)).Uint64("Version", uint64(v)).Int("Attempts", len(s.tried)+len(s.detours)).
		Str("Outcome", string(a.Outcome)).Str("Reason", string(a.Reason)).Int("Status", a.Status).
		Dur("Objective", s.route.LatencyObjective).Dur("Took", r.clock.Now().Sub(s.started))
}

// runAttempts makes attempts until one is final or no retry is allowed, and returns the response for the caller.
func (r *Relay) runAttempts(ctx context.Context, s *requestState) call.Answer {
	for {
		a, again := r.attempt(ctx, s)
		s.retry.Cancel()
		if !again {
			if s.lastFailure != nil && a.Outcome != outcome.Done {
				return *s.lastFailure
			}
			return a
		}
		if !r.mayRetry(ctx, s) {
			if s.lastFailure != nil {
				return *s.lastFailure
			}
			return a
		}
	}
}

// mayRetry reports whether the request may be retried and, if so, counts one retry towards the service's limit.
// Attempts in which no target was contacted do not count towards the route's maximum of attempts. The first attempt to
// arrive at a target is no retry for the service, whatever VMs it has been sent to before.
func (r *Relay) mayRetry(ctx context.Context, s *requestState) bool {
	if ctx.Err() != nil || s.call.Deadline.Sub(r.clock.Now()) < minTimeLeft {
		return false
	}
	detour := r.needsDetour(s)
	if !detour && max(len(s.tried), s.arrivals) >= max(s.route.MaxAttempts, 1) {
		return false
	}
	if s.arrivals == 0 && (detour || len(s.tried) == 0 && len(s.detours) > 0) {
		return true
	}
	if s.retry = r.retries.Take(s.call.Service); s.retry != nil {
		return true
	}
	r.log.Info().Str("Request", string(s.call.ID)).Str("Service", string(s.call.Service)).
		Msg("retry limit of the service reached; request not retried")
	return false
}

// attempt makes one attempt, through another VM if this one has no path to the targets, and reports whether the retry
// rules allow another one.
func (r *Relay) attempt(ctx context.Context, s *requestState) (call.Answer, bool) {
	c := s.call
	if left := r.quarantine.QuarantinedFor(s.fingerprint); left > 0 {
		a := s.withOverallOutcome(notRunResponse(outcome.Quarantined))
		a.RetryAfter = left
		return a, false
	}
	if a, refused := access.Refusal(r.checkKey(s)); refused {
		return s.withOverallOutcome(a), false
	}
	if r.needsDetour(s) {
		if m, ok := r.detours.Pick(c.Service, s.detours); ok {
			return r.attemptThrough(ctx, s, &m)
		}
		// Without a member to go through, a direct attempt shows at least whether the path is back.
		s.noMember = true
	}
	return r.attemptDirectly(ctx, s)
}

// attemptDirectly makes one attempt at a target that this VM chooses, and reports whether the retry rules allow another
// one. It chooses again, without a retry, if a roll-out does not allow the version of the chosen target any more.
func (r *Relay) attemptDirectly(ctx context.Context, s *requestState) (call.Answer, bool) {
	for range maxVersionChoices - 1 {
		v := r.chooseVersion(s)
		a, again := r.attemptAt(ctx, s, v)
		if !v.rejected || ctx.Err() != nil {
			return a, again
		}
	}
	return r.attemptAt(ctx, s, r.chooseVersion(s))
}

// attemptAt makes one attempt at a target of one of the versions that the roll-out allows.
func (r *Relay) attemptAt(ctx context.Context, s *requestState, o *versionChoice) (call.Answer, bool) {
	c := s.call
	q := r.newQuery(s)
	q.Filter = o.filter()
	h, reason := r.chooser.Choose(ctx, q)
	if reason != "" {
		s.pathFailed = s.pathFailed || h.Unanswered()
		o.release()
		r.log.Info().Str("Request", string(c.ID)).Str("Service", string(c.Service)).Int("Asked", h.Probed).
			Str("Reason", string(reason)).Msg("no target for the request")
		a := notRunResponse(reason)
		a.RetryAfter = max(a.RetryAfter, h.RetryAfter)
		if h.Rejected {
			a.RetryAfter = h.RetryAfter
		}
		return s.withOverallOutcome(a), reason != outcome.Cancelled && r.needsDetour(s)
	}
	began := r.clock.Now()
	x := r.send(ctx, s, &h, o)
	r.finishVersion(s, &h, o, x)
	r.logAttempt(s, &h, x, began)
	h.End(r.clock.Now(), s.route.Name, x.Event, r.clock.Now().Sub(began))
	if h.Report.At != 0 && x.Status == http.StatusOK {
		r.latency.Observe(s.route.Name, h.Score, r.clock.Now().Sub(began))
	}
	v, unwritten := x.Event.(outcome.NeverWritten)
	unreachable := unwritten && v.Reason == outcome.Unreachable
	if !unwritten || unreachable {
		s.tried = append(s.tried, h.Upstream.Target.ID)
	}
	if !unwritten {
		s.arrivals++
	}
	s.pathFailed = s.pathFailed || unreachable && h.Unanswered()
	return r.evaluate(s, x)
}

// logAttempt logs the end of an attempt that began at the given instant.
func (r *Relay) logAttempt(s *requestState, h *candidate.Choice, x exchange.Result, began clock.Instant) {
	u := h.Upstream
	l := r.log.Info().Str("Request", string(s.call.ID)).Str("Target", string(u.Target.ID)).
		Str("DataCentre", string(u.Target.DataCentre)).Int("Asked", h.Probed).Float64("Score", h.Score)
	if h.Report.At != 0 {
		// Without a report, the target was chosen by the number of this VM's own requests in flight alone.
		l = l.Int("Running", h.Report.Running).Int("Waiting", h.Report.Waiting).Float64("Pace", h.Report.Slowdown).
			Dur("ReportAge", began.Sub(h.Report.At))
	}
	l.Str("End", eventName(x.Event)).Int("Status", x.Status).Dur("Took", r.clock.Now().Sub(began)).Msg("attempt ended")
}

// send sends the request to the chosen target. If the request could be retried on another target, a watchdog can cancel
// the attempt.
func (r *Relay) send(ctx context.Context, s *requestState, h *candidate.Choice, o *versionChoice) exchange.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if s.call.Idempotent && len(s.tried)+1 < s.route.MaxAttempts {
		go r.watchdog(ctx, cancel, s, h)
	}
	check := func() outcome.Reason {
		reason := r.checkBeforeWrite(h, s)
		if reason == "" && !o.send(r.clock.Now(), h.Upstream.Target.Version) {
			reason = outcome.NoTarget
		}
		if reason == "" {
			s.retry.Sent()
		}
		return reason
	}
	u := ident.Upstream(h.Upstream.Target.Incarnation().String())
	r.quarantine.Begin(s.fingerprint, u)
	x := h.Upstream.Do(ctx, h.Conn, s.call, check)
	r.quarantine.End(s.fingerprint, u, x.Event)
	return x
}

// checkBeforeWrite runs immediately before the first byte of a request is written, so that no request is sent to a
// target that has begun to drain, has asked for a pause or has named a limit since it was chosen, after the deadline,
// with an API key that has been removed, or while the request is quarantined. It returns the reason not to send, if
// any.
func (r *Relay) checkBeforeWrite(h *candidate.Choice, s *requestState) outcome.Reason {
	c := s.call
	if !r.catalog.Get().Roster.Accepts(c.Service, h.Upstream.Target.ID) || !h.Accepts() {
		return outcome.NoTarget
	}
	if r.quarantine.Quarantined(s.fingerprint) {
		return outcome.Quarantined
	}
	if c.Deadline <= r.clock.Now() || s.forwarded && c.SendBy <= r.clock.Now() {
		return outcome.Expired
	}
	return r.checkKey(s)
}

// newAdmission returns what admission control has to know of the request. The priority of a team takes precedence over
// that of the route.
func (s *requestState) newAdmission() *admission.Request {
	p := s.route.Priority
	if s.call.Team != "" {
		p = s.call.Priority
	}
	return &admission.Request{
		Route: s.route.Name, Priority: p, Arrived: s.started, LatencyObjective: s.route.LatencyObjective,
		Deadline: s.call.Deadline, Waited: s.call.Waited,
	}
}

// sendBy returns when a request that has not been written to a target is given up, so that its answer arrives in time.
func (s *requestState) sendBy() clock.Instant {
	left := s.call.Deadline.Sub(s.started)
	least := minAnswerTime
	if s.forwarded {
		least = minForwardedAnswerTime
	}
	d := min(max(time.Duration(answerShare*float64(left)), least), maxAnswerTime)
	return s.call.Deadline.Add(-min(d, left/2))
}

// newQuery returns the query for the target of the next attempt.
func (r *Relay) newQuery(s *requestState) *candidate.Query {
	wait := maxWait
	if o := s.route.LatencyObjective; o > 0 {
		wait = time.Duration(maxWaitShare * float64(o))
	}
	q := &candidate.Query{
		Request: s.call.ID, Service: s.service, Tried: slices.Clone(s.tried),
		BaseLatency: r.latency.BaseLatency(s.route.Name), Objective: s.call.Deadline,
		WaitUntil: min(s.started.Add(wait), s.sendBy()), Deadline: s.call.Deadline,
		Body: ident.Bytes(len(s.call.Body)), ProbedOnly: r.detours.Partitioned(s.call.Service), Admission: s.admission,
	}
	if o := s.route.LatencyObjective; o > 0 {
		q.Objective = s.started.Add(o)
	}
	return q
}

// evaluate applies the retry rules to the result of an attempt. It returns the response and whether to retry. A request
// that is quarantined now has not completed, since that would have cleared it.
func (r *Relay) evaluate(s *requestState, x exchange.Result) (call.Answer, bool) {
	if v, ok := x.Event.(outcome.NeverWritten); ok {
		if a, refused := access.Refusal(v.Reason); refused {
			return s.withOverallOutcome(a), false
		}
	}
	if !s.call.Idempotent && promisesNotRun(x) {
		x = exchange.Result{Event: outcome.Broken{Reason: outcome.Unproven}}
	}
	a := responseOf(x)
	d := s.history.Decide(x.Event, s.call.Idempotent)
	a.SetOutcome(d.Outcome)
	if left := r.quarantine.QuarantinedFor(s.fingerprint); left > 0 {
		r.log.Warn().Str("Request", string(s.call.ID)).Str("Host", s.call.Host).Str("Path", s.call.Path).Dur("For", left).
			Msg("request quarantined: targets died while they ran it")
		a.RetryAfter = left
		return a, false
	}
	if _, ok := x.Event.(outcome.Completed); ok && s.call.Idempotent && x.Status >= http.StatusInternalServerError {
		// The target ran the request and failed. Another target may succeed; if none does, the caller gets this
		// response.
		s.lastFailure = &a
		return a, true
	}
	return a, d.Retry && !isFinal(x.Event)
}

// promisesNotRun reports whether the status of a response promises callers that the request has not run, though the
// target does not state that.
func promisesNotRun(x exchange.Result) bool {
	if _, ok := x.Event.(outcome.Completed); !ok {
		return false
	}
	switch x.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// isFinal reports whether another attempt would be of no use: the deadline has passed, the caller has cancelled the
// request, or this VM has no room for the body of the response.
func isFinal(e outcome.Event) bool {
	var r outcome.Reason
	switch v := e.(type) {
	case outcome.NeverWritten:
		r = v.Reason
	case outcome.Broken:
		r = v.Reason
		if r == outcome.Overload {
			return true
		}
	}
	return r == outcome.Expired || r == outcome.Cancelled
}

// withOverallOutcome returns a response that refuses the request, with its outcome changed to unknown if an earlier
// attempt may have run the request.
func (s *requestState) withOverallOutcome(a call.Answer) call.Answer {
	d := s.history.Decide(a.Event, s.call.Idempotent)
	a.SetOutcome(d.Outcome)
	return a
}

// notRunResponse returns the response to a request that no target ran.
func notRunResponse(r outcome.Reason) call.Answer {
	a := call.NotRun(r)
	a.RetryAfter = retryDelay
	return a
}

// responseOf returns the response that corresponds to the result of an attempt.
func responseOf(x exchange.Result) call.Answer {
	switch e := x.Event.(type) {
	case outcome.Completed:
		return call.Answer{Outcome: outcome.Done, Event: e, Status: x.Status, Header: x.Header, Body: x.Body}
	case outcome.NeverWritten:
		return notRunResponse(e.Reason)
	case outcome.Refused:
		a := notRunResponse(e.Reason)
		a.Event = e
		return a
	case outcome.Broken:
		a := call.Unknown(e.Reason)
		if e.Reason == outcome.Expired {
			a.Status = http.StatusGatewayTimeout
		}
		return a
	default:
		return call.Unknown(outcome.Reset)
	}
}

// eventName returns the name of the event that ended an attempt, for the logs.
func eventName(e outcome.Event) string {
	switch v := e.(type) {
	case outcome.Completed:
		return "completed"
	case outcome.NeverWritten:
		return "never written: " + string(v.Reason)
	case outcome.Refused:
		return "refused"
	case outcome.Broken:
		return "broken: " + string(v.Reason)
	default:
		return "unknown"
	}
}
