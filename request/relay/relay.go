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
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/candidate"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/request/retry"
	"github.com/amaranthramp/amaranthramp/request/rule"
	"github.com/amaranthramp/amaranthramp/version/route"
)

const (
	// waitShare is the part of the objective that a request may wait for room at a target.
	waitShare = 0.4
	// maxWait bounds that wait for routes without an objective.
	maxWait = 200 * time.Millisecond
	// minLeft is the least time left in which an attempt is still worth its cost at a target.
	minLeft = 20 * time.Millisecond
	// defaultTimeout is for routes and callers that set none.
	defaultTimeout = 30 * time.Second
	// comeBack is when a refused caller is told to try again: the spells in which a shared machine is slow last about as
	// long.
	comeBack = 150 * time.Millisecond
)

// Chooser chooses the target of each attempt.
type Chooser interface {
	Choose(ctx context.Context, q *candidate.Query) (candidate.Choice, outcome.Reason)
}

// Relay answers callers' requests; it is safe for concurrent use.
type Relay struct {
	catalog *catalog.Catalog
	chooser Chooser
	budget  *retry.Window
	work    *candidate.Work
	clock   clock.Clock
	log     zerolog.Logger
}

// New returns a relay.
func New(g *catalog.Catalog, h Chooser, b *retry.Window, c clock.Clock, l zerolog.Logger) *Relay {
	return &Relay{catalog: g, chooser: h, budget: b, work: candidate.NewWork(), clock: c, log: l}
}

// attempts is the state of one request over all of its attempts.
type attempts struct {
	call    *call.Call
	route   *route.Route
	service route.Service
	started clock.Instant
	history rule.History
	tried   []ident.Target
	// last is the answer of a target that failed the request, which the caller gets if no other target does better.
	last *call.Answer
}

// Do returns the final answer of a call that follows the route under the table.
func (r *Relay) Do(ctx context.Context, t *route.Table, o *route.Route, c *call.Call) call.Answer {
	now := r.clock.Now()
	if c.Deadline == 0 {
		c.Deadline = now.Add(defaultTimeout)
	}
	if o.Timeout > 0 {
		c.Deadline = min(c.Deadline, now.Add(o.Timeout))
	}
	c.Service, c.Class, c.Idempotent = o.Backend(), ident.Class(o.Name), o.Idempotent
	s := &attempts{call: c, route: o, service: t.Services[c.Service], started: now}
	r.budget.First(c.Service)
	a := r.run(ctx, s)
	r.log.Info().Str("Request", string(c.ID)).Str("Route", string(o.Name)).Str("Service", string(c.Service)).
		Uint64("Version", uint64(t.Version)).Int("Attempts", len(s.tried)).Str("Outcome", string(a.Outcome)).
		Str("Reason", string(a.Reason)).Int("Status", a.Status).Dur("Objective", o.Objective).
		Dur("Took", r.clock.Now().Sub(now)).
		Msg("request answered")
	return a
}

// run makes attempts until one is final.
func (r *Relay) run(ctx context.Context, s *attempts) call.Answer {
	for {
		a, again := r.attempt(ctx, s)
		if !again {
			if s.last != nil && a.Outcome != outcome.Done {
				return *s.last
			}
			return a
		}
		if !r.mayRetry(ctx, s) {
			if s.last != nil {
				return *s.last
			}
			return a
		}
	}
}

// mayRetry spends one retry of the service's budget. A request that reached no target yet costs none.
func (r *Relay) mayRetry(ctx context.Context, s *attempts) bool {
	if ctx.Err() != nil || s.call.Deadline.Sub(r.clock.Now()) < minLeft {
		return false
	}
	if len(s.tried) >= max(s.route.MaxAttempts, 1) {
		return false
	}
	if r.budget.Take(s.call.Service) {
		return true
	}
	r.log.Info().Str("Request", string(s.call.ID)).Str("Service", string(s.call.Service)).
		Msg("not sent again, the retry budget is spent")
	return false
}

// attempt makes one attempt and reports whether another one is allowed by the rules for retries.
func (r *Relay) attempt(ctx context.Context, s *attempts) (call.Answer, bool) {
	c := s.call
	h, reason := r.chooser.Choose(ctx, r.query(s))
	if reason != "" {
		r.log.Info().Str("Request", string(c.ID)).Str("Service", string(c.Service)).Int("Asked", h.Asked).
			Str("Reason", string(reason)).Msg("no target for the request")
		return s.settle(refusal(reason)), false
	}
	u := h.Upstream
	began := r.clock.Now()
	x := r.send(ctx, s, &h)
	l := r.log.Info().Str("Request", string(c.ID)).Str("Target", string(u.Target.ID)).
		Str("DataCentre", string(u.Target.DataCentre)).Int("Asked", h.Asked).Float64("Score", h.Score)
	if h.Report.At != 0 {
		// Without a report the target was chosen by this VM's own requests alone.
		l = l.Int("Running", h.Report.Running).Int("Waiting", h.Report.Waiting).Float64("Pace", h.Report.Pace).
			Dur("ReportAge", began.Sub(h.Report.At))
	}
	l.Str("End", endOf(x.Event)).Int("Status", x.Status).Dur("Took", r.clock.Now().Sub(began)).Msg("attempt ended")
	if h.Report.At != 0 && x.Status == http.StatusOK {
		r.work.Learn(s.route.Name, h.Score, r.clock.Now().Sub(began))
	}
	if v, ok := x.Event.(outcome.NeverWritten); !ok || v.Reason == outcome.Unreachable {
		s.tried = append(s.tried, u.Target.ID)
	}
	return r.judge(s, x)
}

// send sends the request to the chosen target, watched if it may be sent elsewhere.
func (r *Relay) send(ctx context.Context, s *attempts, h *candidate.Choice) exchange.Result {
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	if s.call.Idempotent && len(s.tried)+1 < s.route.MaxAttempts {
		go r.watchdog(ctx, giveUp, s, h)
	}
	return h.Upstream.Do(ctx, h.Conn, s.call, func() outcome.Reason { return r.check(h.Upstream.Target.ID, s.call) })
}

// check runs immediately before the first byte is written, so that a target that has begun to leave gets nothing.
func (r *Relay) check(id ident.Target, c *call.Call) outcome.Reason {
	if !r.catalog.Get().Roster.Open(c.Service, id) {
		return outcome.NoTarget
	}
	if c.Deadline <= r.clock.Now() {
		return outcome.Expired
	}
	return ""
}

func (r *Relay) query(s *attempts) *candidate.Query {
	wait := maxWait
	if o := s.route.Objective; o > 0 {
		wait = time.Duration(waitShare * float64(o))
	}
	q := &candidate.Query{
		Request: s.call.ID, Service: s.service, Tried: slices.Clone(s.tried), Work: r.work.Of(s.route.Name),
		Objective: s.call.Deadline, Until: min(s.started.Add(wait), s.call.Deadline), Deadline: s.call.Deadline,
	}
	if o := s.route.Objective; o > 0 {
		q.Objective = s.started.Add(o)
	}
	return q
}

// judge applies the rules for retries to the end of an attempt.
func (r *Relay) judge(s *attempts, x exchange.Result) (call.Answer, bool) {
	a := answerOf(x)
	d := s.history.Decide(x.Event, s.call.Idempotent)
	a.Correct(d.Outcome)
	if _, ok := x.Event.(outcome.Completed); ok && s.call.Idempotent && x.Status >= http.StatusInternalServerError {
		// The target ran the request and failed; another one may do better, and if not the caller gets this answer.
		s.last = &a
		return a, true
	}
	return a, d.Retry && !isOver(x.Event)
}

// isOver reports whether a request ended because its time or its caller is gone.
func isOver(e outcome.Event) bool {
	var r outcome.Reason
	switch v := e.(type) {
	case outcome.NeverWritten:
		r = v.Reason
	case outcome.Broken:
		r = v.Reason
	}
	return r == outcome.Expired || r == outcome.Cancelled
}

// settle corrects a refusal by the attempts before it.
func (s *attempts) settle(a call.Answer) call.Answer {
	d := s.history.Decide(a.Event, s.call.Idempotent)
	a.Correct(d.Outcome)
	return a
}

func refusal(r outcome.Reason) call.Answer {
	a := call.NotRun(r)
	a.RetryAfter = comeBack
	return a
}

func answerOf(x exchange.Result) call.Answer {
	switch e := x.Event.(type) {
	case outcome.Completed:
		return call.Answer{Outcome: outcome.Done, Event: e, Status: x.Status, Header: x.Header, Body: x.Body}
	case outcome.NeverWritten:
		return refusal(e.Reason)
	case outcome.Refused:
		a := refusal(e.Reason)
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

// endOf names how an attempt ended, for the logs.
func endOf(e outcome.Event) string {
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
