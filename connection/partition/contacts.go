package partition

import (
	"slices"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// minSilentTargets is the number of targets of a service that must leave contacts unanswered before this VM counts as
// partitioned from the service, unless the service has fewer. One or two may have crashed.
const minSilentTargets = 3

// contacts is what is known of the contacts with the targets of one service.
type contacts struct {
	// lastAnswer is when the last response of any target arrived.
	lastAnswer clock.Instant
	// silent holds targets with a failed contact that began after lastAnswer, at most minSilentTargets of them, and
	// silentSince is when the first of these contacts began.
	silent      []ident.Target
	silentSince clock.Instant
}

// answered returns the contacts after a response that arrived at the given instant.
func (c contacts) answered(at clock.Instant) contacts {
	if at < c.lastAnswer {
		return c
	}
	return contacts{lastAnswer: at}
}

// failed returns the contacts after one with a target that began at the given instant and got no response. It says
// nothing if another target has responded since it began.
func (c contacts) failed(t ident.Target, began clock.Instant) contacts {
	if began < c.lastAnswer || len(c.silent) >= minSilentTargets || slices.Contains(c.silent, t) {
		return c
	}
	if len(c.silent) == 0 {
		c.silentSince = began
	}
	c.silent = append(slices.Clone(c.silent), t)
	return c
}

// partitioned reports whether this VM is partitioned from a service with the given number of targets.
func (c contacts) partitioned(targets int) bool {
	return targets > 0 && len(c.silent) >= min(minSilentTargets, targets)
}
