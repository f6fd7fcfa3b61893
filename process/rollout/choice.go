package rollout

import (
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Choice is the decision on one attempt of a request. It must not be used by two goroutines at once.
type Choice struct {
	state *State
	use   Use
	// reservedFor is the order from whose share a request to the new version is reserved; nil if none is.
	reservedFor *orderState
}

// Choose decides which targets an attempt of a request may use. Choice.Release must be called at the end of the choice
// of a target, whether or not the attempt was sent.
func (s *State) Choose(now clock.Instant) *Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Choice{state: s, use: s.mode(now)}
	if c.use != UseProbe {
		return c
	}
	if s.order.tokens < 1 {
		c.use = UseOld
		return c
	}
	s.order.tokens--
	c.reservedFor = s.order
	return c
}

// Use returns which targets the attempt may use.
func (c *Choice) Use() Use {
	return c.use
}

// Release returns what the choice has reserved and not used.
func (c *Choice) Release() {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if c.reservedFor != nil {
		c.reservedFor.tokens++
		c.reservedFor = nil
	}
}

// Send must be called immediately before the attempt is written to a target. It reports false if a target of this
// version may not be used, or not any more; another choice must be made then. Otherwise it counts the attempt, and
// Attempt.Finish must be called at its end.
func (c *Choice) Send(now clock.Instant, v ident.TargetVersion) (*Attempt, bool) {
	s := c.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.allows(s.mode(now), v) {
		return nil, false
	}
	s.inFlight[v]++
	a := &Attempt{state: s, order: s.order, version: v, sentAt: now}
	if p := s.order; p != nil {
		p.countSent(v, s.share())
	}
	return a, true
}

// allows reports whether a target of the version may be used, and takes the reserved request for a new one.
func (c *Choice) allows(m Use, v ident.TargetVersion) bool {
	p := c.state.order
	if m == UseAny || p.withoutOld {
		return true
	}
	if p.order.Excluded.Has(v) {
		return false
	}
	if v != p.order.Version {
		return m != UseNew
	}
	if m != UseProbe {
		return m != UseOld
	}
	if c.reservedFor != p {
		return false
	}
	c.reservedFor = nil
	return true
}

// countSent counts an attempt. Each of them, whatever its version, adds the new version's share to what may be sent to
// it, so that it never gets more than this share of all attempts plus the credit.
func (p *orderState) countSent(v ident.TargetVersion, share ident.Share) {
	if v == p.order.Version {
		p.sentNew++
	} else {
		p.sentOld++
	}
	// Tokens from before are kept even if they are more: the credit and returned reservations.
	p.tokens = max(p.tokens, min(p.tokens+float64(share), maxSavedRequests))
}

// Attempt is an attempt that has been sent to a target.
type Attempt struct {
	state    *State
	order    *orderState
	version  ident.TargetVersion
	sentAt   clock.Instant
	finished bool
}

// Result is how an attempt ended. Implementations are distinguished by type.
type Result interface {
	result()
}

// Responded means that the target responded or the attempt broke.
type Responded struct {
	Route      ident.Route
	Target     ident.Target
	DataCentre ident.DataCentre
	// Failed is true for a response with a 5xx status and for a broken attempt.
	Failed bool
	// Latency is the time that the target took; zero stands for the time between Send and Finish.
	Latency time.Duration
}

// NotCounted means that the attempt says nothing about the version: the target was cold, the caller disconnected, or
// the request was not run.
type NotCounted struct{}

func (Responded) result()  {}
func (NotCounted) result() {}

// Finish records the end of the attempt. Only the first call counts.
func (a *Attempt) Finish(now clock.Instant, r Result) {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.finished {
		return
	}
	a.finished = true
	s.inFlight[a.version]--
	if s.inFlight[a.version] == 0 {
		delete(s.inFlight, a.version)
	}
	x, ok := r.(Responded)
	if !ok || a.order == nil || a.order != s.order {
		return
	}
	if x.Latency == 0 {
		x.Latency = now.Sub(a.sentAt)
	}
	p := a.order
	isNew := a.version == p.order.Version
	p.evidence.record(x, isNew, p.limits)
	if isNew && p.stopped == "" && overwhelming(p.evidence.old(), p.evidence.fresh()) {
		s.stop(p.order.Version, p.order.ID, "responses on this VM")
	}
}
