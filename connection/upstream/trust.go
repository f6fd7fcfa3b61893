package upstream

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// The states of a target's trust.
const (
	trusted = "Trusted"
	// ejected: the target gets no requests until the ejection time is over.
	ejected = "Ejected"
	// onTrial: the target gets one request at a time until one succeeds.
	onTrial = "OnTrial"
)

// The events of the trust state machine.
const (
	eventEject  = "Eject"
	eventTry    = "Try"
	eventAccept = "Accept"
)

// Limits on ejection.
const (
	// failuresToEject is the number of consecutive failures that eject a trusted target. It is more than one because a
	// single failure may be caused by the request itself.
	failuresToEject = 2
	// minEjectionTime is the length of the first ejection; it doubles with each consecutive ejection up to
	// maxEjectionTime. Neither exceeds the 4 s within which each target of a service is expected to
	// get requests.
	minEjectionTime = 500 * time.Millisecond
	maxEjectionTime = 4 * time.Second
)

// trust is the state machine for outlier detection on one target; callers serialise access.
type trust struct {
	machine             *fsm.FSM
	consecutiveFailures int
	// consecutiveEjections counts the ejections since the last success.
	consecutiveEjections int
	ejectedUntil         clock.Instant
	trialInFlight        bool
}

func newTrust() *trust {
	return &trust{machine: fsm.NewFSM(trusted, fsm.Events{
		{Name: eventEject, Src: []string{trusted, onTrial, ejected}, Dst: ejected},
		{Name: eventTry, Src: []string{ejected}, Dst: onTrial},
		{Name: eventAccept, Src: []string{trusted, onTrial, ejected}, Dst: trusted},
	}, fsm.Callbacks{})}
}

// fire sends an event to the state machine. The machine returns an error for an event that keeps the state, which is
// expected here and ignored.
func (t *trust) fire(e string) {
	_ = t.machine.Event(context.Background(), e)
}

// usable reports whether a request may be sent to the target now. It moves an ejected target to its trial when the
// ejection time is over.
func (t *trust) usable(now clock.Instant) bool {
	if t.machine.Current() == ejected && now >= t.ejectedUntil {
		t.fire(eventTry)
		t.trialInFlight = false
	}
	switch t.machine.Current() {
	case trusted:
		return true
	case onTrial:
		return !t.trialInFlight
	default:
		return false
	}
}

// recordSend records that a request is about to be sent.
func (t *trust) recordSend() {
	t.trialInFlight = true
}

// recordSuccess records a complete response and reports whether it ends an ejection or a trial.
func (t *trust) recordSuccess() bool {
	t.consecutiveFailures, t.consecutiveEjections, t.trialInFlight = 0, 0, false
	regained := t.machine.Current() != trusted
	t.fire(eventAccept)
	return regained
}

// recordFailure records a failed request and reports whether it ejects a target that was trusted. Further failures of
// an ejected target only prolong its ejection.
func (t *trust) recordFailure(now clock.Instant) bool {
	t.trialInFlight = false
	t.consecutiveFailures++
	wasTrusted := t.machine.Current() == trusted
	if t.consecutiveFailures < failuresToEject && wasTrusted {
		return false
	}
	t.ejectedUntil = now.Add(min(minEjectionTime<<min(t.consecutiveEjections, 8), maxEjectionTime))
	t.consecutiveEjections++
	t.fire(eventEject)
	return wasTrusted
}

// recordInconclusive records the end of a request that says nothing about the health of the target.
func (t *trust) recordInconclusive() {
	t.trialInFlight = false
}

// state returns the name of the state for logs and the dump.
func (t *trust) state() string {
	return t.machine.Current()
}
