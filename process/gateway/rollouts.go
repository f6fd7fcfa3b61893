package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/rollout"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

// rolloutFleet is the part of the fleet that roll-outs need.
type rolloutFleet interface {
	SendRollout(to ident.Address, m *wire.RolloutMessage)
	// RolloutsConfirmedAt returns when this VM's copy of the orders was last known to be current; zero if it never was.
	RolloutsConfirmedAt() clock.Instant
}

// rollouts carries out what package rollout decides on the services of this VM. It is safe for concurrent use.
type rollouts struct {
	self    rollout.Self
	bound   rollout.Bound
	catalog *catalog.Catalog
	fleet   rolloutFleet
	writer  catalog.RolloutWriter
	clock   clock.Clock
	log     zerolog.Logger

	mu       sync.RWMutex
	services map[ident.Service]*serviceRollout
}

// serviceRollout is the roll-out state of one service on this VM.
type serviceRollout struct {
	service ident.Service
	state   *rollout.State
	decider *rollout.Decider

	mu sync.Mutex
	// order is the order that state and decider know; nil if there is none.
	order *rollout.Order
	// learnedAt is when this VM learned of the order.
	learnedAt clock.Instant
	// written is the order as the store returned it to a write of this VM, until the catalogue has caught up; nil if it
	// has. It holds in the era writtenEra.
	written    *catalog.Rollout
	writtenEra ident.Era
	// writing is true while a write is under way. After a failed one, the next waits until writeAt.
	writing bool
	writeAt clock.Instant
	// deciders are the members that get this VM's reports, for the list of members at decidersAt.
	deciders   []roster.Member
	decidersAt catalog.Position
	logged     loggedRollout
}

// newRollouts returns the roll-outs of a VM. process identifies the run of the process.
func newRollouts(
	s *Settings, process uint64, g *catalog.Catalog, f rolloutFleet, w catalog.RolloutWriter, c clock.Clock,
	l zerolog.Logger,
) *rollouts {
	return &rollouts{
		self: rollout.Self{VM: s.Name, Process: process},
		bound: rollout.Bound{
			Share: s.Rollout.Share, Slack: s.Rollout.Slack, Rollback: s.Rollout.Rollback, Contact: s.Rollout.Contact,
		},
		catalog: g, fleet: f, writer: w, clock: c, log: l, services: map[ident.Service]*serviceRollout{},
	}
}

// State returns the state of the roll-outs of a service.
func (r *rollouts) State(s ident.Service) *rollout.State {
	return r.get(s).state
}

// get returns what is known of a service, with its order if there is one.
func (r *rollouts) get(s ident.Service) *serviceRollout {
	r.mu.RLock()
	n, ok := r.services[s]
	r.mu.RUnlock()
	if ok {
		return n
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n, ok := r.services[s]; ok {
		return n
	}
	n = &serviceRollout{
		service: s, state: rollout.New(r.self, r.bound, s), decider: rollout.NewDecider(r.self, r.bound, s),
	}
	r.services[s] = n
	r.update(n)
	return n
}

// all returns all services that are known.
func (r *rollouts) all() []*serviceRollout {
	r.mu.RLock()
	defer r.mu.RUnlock()
	l := make([]*serviceRollout, 0, len(r.services))
	for _, s := range r.services {
		l = append(l, s)
	}
	return l
}

// apply applies the latest view of the catalogue.
func (r *rollouts) apply() {
	for s := range r.catalog.Get().Rollouts {
		r.get(s)
	}
	for _, s := range r.all() {
		r.update(s)
	}
}

// update tells the state and the decider of a service its order, if there is or was one. The view is read under the
// lock, so that concurrent calls never go back to an older one, which may lack the order.
func (r *rollouts) update(s *serviceRollout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := r.catalog.Get()
	now := r.clock.Now()
	e := s.latest(v)
	switch {
	case e == nil && s.order == nil:
		return
	case e == nil:
		s.order = nil
	default:
		id, _ := rollout.Identify(e.Revision, e.NewVersion, e.Status)
		if s.order == nil || s.order.ID != id || s.order.Version != e.NewVersion {
			s.learnedAt = now
		}
		o := rollout.NewOrder(s.service, e.NewVersion, e.Duration, e.Revision, e.Status, s.learnedAt)
		s.order = &o
	}
	s.state.Update(now, s.order, v.Members)
	s.decider.Update(now, s.order, v.Members)
}

// latest returns the order of the service as of a view, or as a write of this VM has returned it if that is newer; nil
// if there is none.
func (s *serviceRollout) latest(v *catalog.View) *catalog.Rollout {
	at := v.Positions[catalog.Rollouts]
	if s.written != nil && at.Era == s.writtenEra && at.Revision < s.written.Revision {
		return s.written
	}
	s.written = nil
	e, ok := v.Rollouts[s.service]
	if !ok {
		return nil
	}
	return &e
}

// hasOrder reports whether the service has an order.
func (s *serviceRollout) hasOrder() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.order != nil
}

// run reports to the deciders and carries out what this VM decides, until the context ends.
func (r *rollouts) run(ctx context.Context) {
	step := time.NewTicker(rollout.StepInterval)
	defer step.Stop()
	report := time.NewTicker(rollout.ReportInterval)
	defer report.Stop()
	for {
		c := r.catalog.Changed()
		r.apply()
		select {
		case <-ctx.Done():
			return
		case <-c:
		case <-step.C:
			r.step(ctx)
		case <-report.C:
			r.report(ctx)
		}
	}
}

// step lets the deciders of all services with an order act.
func (r *rollouts) step(ctx context.Context) {
	for _, s := range r.all() {
		if !s.hasOrder() {
			continue
		}
		r.act(ctx, s, "", s.decider.Step(r.clock.Now()))
		r.logChanges(s)
	}
}

// report sends the evidence of this VM on each order to the order's deciders.
func (r *rollouts) report(ctx context.Context) {
	confirmed := r.fleet.RolloutsConfirmedAt()
	for _, s := range r.all() {
		if !s.hasOrder() {
			continue
		}
		if confirmed != 0 {
			s.state.Confirm(confirmed)
		}
		m := s.state.Report(r.clock.Now())
		if m == nil {
			continue
		}
		for _, d := range s.currentDeciders(r.catalog.Get()) {
			if d.Name == r.self.VM {
				r.act(ctx, s, d.Address, s.decider.Receive(r.clock.Now(), m))
				continue
			}
			r.fleet.SendRollout(d.Address, m)
		}
	}
}

// currentDeciders returns the deciders of the service. They are chosen anew only when the members have changed.
func (s *serviceRollout) currentDeciders(v *catalog.View) []roster.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deciders == nil || s.decidersAt != v.MembersAt {
		s.deciders, s.decidersAt = rollout.Deciders(s.service, v.Members), v.MembersAt
	}
	return s.deciders
}

// handle handles a message of another member.
func (r *rollouts) handle(ctx context.Context, m *wire.RolloutMessage, from ident.Address) {
	if m.GetService() == "" || m.GetStop() == nil && !r.isKnown(ident.Service(m.GetService())) {
		return
	}
	s := r.get(ident.Service(m.GetService()))
	now := r.clock.Now()
	s.state.Receive(now, m)
	if m.GetAcknowledgement() == nil {
		r.act(ctx, s, from, s.decider.Receive(now, m))
	}
}

// isKnown reports whether the service has been used or has an order.
func (r *rollouts) isKnown(s ident.Service) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, ok := r.services[s]
	return ok
}

// act carries out what the decider of a service wants done. from is the address of the VM whose message led to it.
func (r *rollouts) act(ctx context.Context, s *serviceRollout, from ident.Address, l []rollout.Action) {
	for _, a := range l {
		switch a := a.(type) {
		case rollout.WriteStatus:
			r.write(ctx, s, &a)
		case rollout.SendStop:
			s.state.Receive(r.clock.Now(), a.Message)
			v := r.catalog.Get()
			for i := range v.Members {
				if m := &v.Members[i]; m.Name != r.self.VM {
					r.fleet.SendRollout(m.Address, a.Message)
				}
			}
		case rollout.Acknowledge:
			if a.To == r.self.VM {
				s.state.Receive(r.clock.Now(), a.Message)
				continue
			}
			r.fleet.SendRollout(from, a.Message)
		}
	}
}
