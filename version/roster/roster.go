package roster

import (
	"cmp"
	"slices"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Target is one registered incarnation of a target.
type Target struct {
	ID         ident.Target
	Service    ident.Service
	Address    ident.Address
	DataCentre ident.DataCentre
	Slots      ident.Slots
	// Draining means that the target has said that it is about to stop.
	Draining bool
	// ColdUntil is when the cold start that the target reported ends.
	ColdUntil clock.Instant
	// Born is the Unix millisecond of the target's start, by its own clock.
	Born int64
}

// Member is one VM of the system, as it has registered itself.
type Member struct {
	Name ident.VM
	// Address takes datagrams and connections of the other members.
	Address    ident.Address
	DataCentre ident.DataCentre
	// Capacity is a class of machines: the larger, the more a VM can do for others.
	Capacity int
}

// Roster is one state of the register; it is never changed after New.
type Roster struct {
	services map[ident.Service][]Target
	out      map[ident.DataCentre]bool
	size     int
}

// New returns the roster of the targets, with the data centres that take no new work.
func New(targets []Target, out []ident.DataCentre) *Roster {
	r := &Roster{services: map[ident.Service][]Target{}, out: map[ident.DataCentre]bool{}, size: len(targets)}
	for _, z := range out {
		r.out[z] = true
	}
	for _, t := range targets {
		r.services[t.Service] = append(r.services[t.Service], t)
	}
	for _, l := range r.services {
		slices.SortFunc(l, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return r
}

// Of returns the targets of a service that may get new work.
func (r *Roster) Of(s ident.Service) []Target {
	var l []Target
	for _, t := range r.services[s] {
		if !t.Draining && !r.out[t.DataCentre] {
			l = append(l, t)
		}
	}
	return l
}

// Open reports whether the incarnation may get new work.
func (r *Roster) Open(s ident.Service, id ident.Target) bool {
	for _, t := range r.services[s] {
		if t.ID == id {
			return !t.Draining && !r.out[t.DataCentre]
		}
	}
	return false
}

// All returns every target of every service.
func (r *Roster) All() []Target {
	var l []Target
	for _, s := range r.services {
		l = append(l, s...)
	}
	return l
}

// Size returns the number of registered targets.
func (r *Roster) Size() int {
	return r.size
}

// Out reports whether operators have taken the data centre out.
func (r *Roster) Out(z ident.DataCentre) bool {
	return r.out[z]
}
