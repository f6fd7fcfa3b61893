package relay

import (
	"net/http"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/rollout"
	"github.com/amaranthramp/amaranthramp/request/candidate"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// maxVersionChoices is how often a target is chosen for one attempt if the roll-out of the service changes between the
// choice and the write: it may stop, move and stop again, but not within one choice more often than that.
const maxVersionChoices = 4

// newVersionPool names the targets of a new version, which have a probe limiter of their own.
const newVersionPool = "new version"

// versionChoice is the decision which versions an attempt may use. Without a roll-out state all versions are allowed.
type versionChoice struct {
	state  *rollout.State
	choice *rollout.Choice
	clock  clock.Clock
	// attempt is the attempt that has been sent, or nil.
	attempt *rollout.Attempt
	sentAt  clock.Instant
	// rejected is true if the version of the chosen target was not allowed any more immediately before the write.
	rejected bool
}

// chooseVersion asks the roll-out of the service which versions the next attempt may use.
func (r *Relay) chooseVersion(s *requestState) *versionChoice {
	o := &versionChoice{clock: r.clock}
	if r.rollouts == nil {
		return o
	}
	if o.state = r.rollouts.State(s.call.Service); o.state != nil {
		o.choice = o.state.Choose(r.clock.Now())
	}
	return o
}

// filter returns the restriction of the targets, or nil if there is none.
func (o *versionChoice) filter() candidate.Filter {
	if o.choice == nil || o.choice.Use() == rollout.UseAny {
		return nil
	}
	return o
}

// Split returns the targets of the versions that the attempt may use.
func (o *versionChoice) Split(available []roster.Target) (preferred, fallback []roster.Target) {
	return o.state.Targets(o.clock.Now(), o.choice.Use(), available)
}

// Pool names the targets that the attempt prefers.
func (o *versionChoice) Pool() string {
	if o.choice.Use() == rollout.UseOld {
		return ""
	}
	return newVersionPool
}

// send reports whether the request may be written to a target of the version now and, if so, counts it.
func (o *versionChoice) send(now clock.Instant, v ident.TargetVersion) bool {
	if o.choice == nil {
		return true
	}
	a, ok := o.choice.Send(now, v)
	if !ok {
		o.rejected = true
		return false
	}
	o.attempt, o.sentAt = a, now
	return true
}

// release returns what the choice has reserved and not used.
func (o *versionChoice) release() {
	if o.choice != nil {
		o.choice.Release()
	}
}

// finishVersion records the end of an attempt as evidence on the version of its target.
func (r *Relay) finishVersion(s *requestState, h *candidate.Choice, o *versionChoice, x exchange.Result) {
	if o.attempt != nil {
		now := r.clock.Now()
		o.attempt.Finish(now, r.evidence(s, h, x, now.Sub(o.sentAt)))
	}
	o.release()
}

// evidence returns what the result of an attempt says of the version of its target. The response of a cold target, an
// attempt that has not run, whose caller has disconnected or whose response found no room, and one from a VM without a
// path to the targets say nothing.
func (r *Relay) evidence(s *requestState, h *candidate.Choice, x exchange.Result, took time.Duration) rollout.Result {
	t := &h.Upstream.Target
	e := rollout.Responded{Route: s.route.Name, Target: t.ID, DataCentre: t.DataCentre, Latency: took}
	switch v := x.Event.(type) {
	case outcome.Completed:
		e.Failed = x.Status >= http.StatusInternalServerError
	case outcome.Broken:
		if v.Reason == outcome.Cancelled || v.Reason == outcome.Overload || r.detours.Partitioned(s.call.Service) {
			return rollout.NotCounted{}
		}
		e.Failed = true
	default:
		return rollout.NotCounted{}
	}
	if h.Cold {
		return rollout.NotCounted{}
	}
	return e
}
