package catalog

import (
	"maps"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// The new era of a store that has come back from an older copy lacks the last changes of the previous one until their
// writers write them again. A target that was leaving, or a data centre that was evacuated, must not get requests in
// the meantime: it stays out until a write in the new era says otherwise, for at most carryOverTime.
const (
	// carryOverTime is well above the seconds in which targets and operators write again what the store has lost.
	carryOverTime = 30 * time.Second
	// removalMemory is how long a removed target is remembered; a copy is only some seconds old.
	removalMemory = 30 * time.Second
)

// carriedOver holds what stays out of service across a change of the era, each with the instant until which it does.
type carriedOver struct {
	leaving   map[roster.Incarnation]clock.Instant
	evacuated map[ident.DataCentre]clock.Instant
	// members holds the VMs whose registrations the store has lost. They go on using their shares of the fleet's limits,
	// so the others must go on counting them until they register again.
	members map[ident.VM]carriedMember
	// rollouts holds the orders that the store has lost. Without them the new version would get an equal part of the
	// requests.
	rollouts map[ident.Service]carriedRollout
	// removed holds when each target was removed in the current era.
	removed map[roster.Incarnation]clock.Instant
}

// carriedMember is a VM that is carried over until the given instant.
type carriedMember struct {
	member   roster.Member
	standing Standing
	until    clock.Instant
}

// carriedRollout is an order that is carried over until the given instant.
type carriedRollout struct {
	order Rollout
	until clock.Instant
}

func newCarriedOver() carriedOver {
	return carriedOver{
		rollouts: map[ident.Service]carriedRollout{},
		members:  map[ident.VM]carriedMember{},
		leaving:  map[roster.Incarnation]clock.Instant{}, evacuated: map[ident.DataCentre]clock.Instant{},
		removed: map[roster.Incarnation]clock.Instant{},
	}
}

// recordRemoval remembers a target whose registration was removed in the current era.
func (c *carriedOver) recordRemoval(now clock.Instant, r Record) {
	e, ok := r.Entry.(Registration)
	if !ok {
		return
	}
	maps.DeleteFunc(c.removed, func(_ roster.Incarnation, at clock.Instant) bool { return now.Sub(at) >= removalMemory })
	c.removed[e.Target.Incarnation()] = now
}

// changeEra carries over what was out of service in the records of the previous era and is not out in the listing of
// the new one.
func (c *carriedOver) changeEra(now clock.Instant, k Kind, old, listed map[string]Record) {
	end := now.Add(carryOverTime)
	switch k {
	case Targets:
		for i, at := range c.removed {
			if now.Sub(at) < removalMemory {
				c.leaving[i] = end
			}
		}
		clear(c.removed)
		for _, r := range old {
			if e, ok := r.Entry.(Registration); ok && e.Target.Draining {
				c.leaving[e.Target.Incarnation()] = end
			}
		}
	case Evacuations:
		for name, r := range old {
			e, ok := r.Entry.(Evacuation)
			if _, still := listed[name]; ok && !still {
				c.evacuated[e.DataCentre] = end
			}
		}
	case Rollouts:
		for name, r := range old {
			e, ok := r.Entry.(Rollout)
			if _, still := listed[name]; ok && !still {
				c.rollouts[e.Service] = carriedRollout{order: e, until: end}
			}
		}
	case Members:
		for name, r := range old {
			e, ok := r.Entry.(Membership)
			if _, still := listed[name]; ok && !still {
				c.members[e.Member.Name] = carriedMember{member: e.Member, standing: e.Standing, until: end}
			}
		}
	}
}

// recordWrite ends what is carried over for an object that has been written or deleted in the new era.
func (c *carriedOver) recordWrite(k Kind, name string) {
	switch k {
	case Targets:
		maps.DeleteFunc(c.leaving, func(i roster.Incarnation, _ clock.Instant) bool { return string(i.ID) == name })
	case Evacuations:
		delete(c.evacuated, ident.DataCentre(name))
	case Members:
		delete(c.members, ident.VM(name))
	case Rollouts:
		delete(c.rollouts, ident.Service(name))
	}
}

// holds reports whether anything of a kind is carried over.
func (c *carriedOver) holds(k Kind) bool {
	return k == Targets && len(c.leaving) > 0 || k == Evacuations && len(c.evacuated) > 0 ||
		k == Rollouts && len(c.rollouts) > 0
}

// expire removes what has been carried over for carryOverTime, and reports whether there was any.
func (c *carriedOver) expire(now clock.Instant) bool {
	n := len(c.leaving) + len(c.evacuated) + len(c.members) + len(c.rollouts)
	maps.DeleteFunc(c.leaving, func(_ roster.Incarnation, end clock.Instant) bool { return now >= end })
	maps.DeleteFunc(c.evacuated, func(_ ident.DataCentre, end clock.Instant) bool { return now >= end })
	maps.DeleteFunc(c.members, func(_ ident.VM, m carriedMember) bool { return now >= m.until })
	maps.DeleteFunc(c.rollouts, func(_ ident.Service, o carriedRollout) bool { return now >= o.until })
	return len(c.leaving)+len(c.evacuated)+len(c.members)+len(c.rollouts) < n
}
