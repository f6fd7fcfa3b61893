package roster

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Target is the registration of one incarnation of a target.
type Target struct {
	ID         ident.Target
	Service    ident.Service
	Address    ident.Address
	DataCentre ident.DataCentre
	Slots      ident.Slots
	// Version is the version of the target's software; empty if it does not tell one.
	Version ident.TargetVersion
	// Draining means that the target has announced that it is about to stop.
	Draining bool
	// ColdUntil is the end of the cold start that the target has reported.
	ColdUntil clock.Instant
	// StartedAtMs is the start time of the target in Unix milliseconds, by its own clock.
	StartedAtMs int64
}

// Incarnation identifies one run of a target. A target that restarts under the same id is another incarnation.
type Incarnation struct {
	ID          ident.Target
	StartedAtMs int64
}

// String returns the incarnation for use as a key.
func (i Incarnation) String() string {
	return string(i.ID) + "@" + strconv.FormatInt(i.StartedAtMs, 10)
}

// Incarnation returns the incarnation that has registered.
func (t *Target) Incarnation() Incarnation {
	return Incarnation{ID: t.ID, StartedAtMs: t.StartedAtMs}
}

// Member is the registration of one VM of the system.
type Member struct {
	Name ident.VM
	// Address receives datagrams and connections from the other members.
	Address    ident.Address
	DataCentre ident.DataCentre
	// ForwardAddress receives callers' requests from members that have no path to the targets; empty if none does.
	ForwardAddress ident.Address
	// Capacity is the size class of the VM: a VM of a larger class can do more work for other members.
	Capacity int
}

// Checksum returns a checksum of the names of members, whatever their order.
func Checksum(l []Member) uint64 {
	sum := uint64(0)
	for i := range l {
		sum ^= xxhash.Sum64String(string(l[i].Name))
	}
	return sum
}

// Roster is an immutable snapshot of the registered targets and the evacuated data centres.
type Roster struct {
	targets   map[ident.Service][]Target
	evacuated map[ident.DataCentre]bool
	size      int
}

// New returns the roster of the targets; targets in evacuated data centres get no new requests.
func New(targets []Target, evacuated []ident.DataCentre) *Roster {
	r := &Roster{targets: map[ident.Service][]Target{}, evacuated: map[ident.DataCentre]bool{}, size: len(targets)}
	for _, d := range evacuated {
		r.evacuated[d] = true
	}
	for _, t := range targets {
		r.targets[t.Service] = append(r.targets[t.Service], t)
	}
	for _, l := range r.targets {
		slices.SortFunc(l, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return r
}

// Available returns the targets of a service that may get new requests.
func (r *Roster) Available(s ident.Service) []Target {
	var l []Target
	for _, t := range r.targets[s] {
		if !t.Draining && !r.evacuated[t.DataCentre] {
			l = append(l, t)
		}
	}
	return l
}

// Accepts reports whether the target incarnation may get new requests.
func (r *Roster) Accepts(s ident.Service, id ident.Target) bool {
	for _, t := range r.targets[s] {
		if t.ID == id {
			return !t.Draining && !r.evacuated[t.DataCentre]
		}
	}
	return false
}

// All returns the targets of all services.
func (r *Roster) All() []Target {
	var l []Target
	for _, s := range r.targets {
		l = append(l, s...)
	}
	return l
}

// Size returns the number of registered targets.
func (r *Roster) Size() int {
	return r.size
}

// Evacuated reports whether operators have evacuated the data centre.
func (r *Roster) Evacuated(d ident.DataCentre) bool {
	return r.evacuated[d]
}
