package upstream

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// The states of trust in a target.
const (
	trusted = "Trusted"
	// ejected means that the target gets nothing until its pause is over.
	ejected = "Ejected"
	// onTrial means that the target gets one request at a time until one succeeds.
	onTrial = "OnTrial"
)

// The events that move trust.
const (
	eventEject  = "Eject"
	eventTry    = "Try"
	eventAccept = "Accept"
)

// The bounds on ejection.
const (
	// failuresToEject is how many failures in a row cost a target its trust: one may be the request's own.
	failuresToEject = 2
	// minEjection doubles with each ejection in a row up to maxEjection; both are well below the 4 s in which a target of
	// a service is expected to get requests.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
)

// trust is whether a target is believed to answer; callers serialise access.
type trust struct {
	machine  *fsm.FSM
	failures int
	// ejections counts those since the last success.
	ejections int
	until     clock.Instant
	trying    bool
}

func newTrust() *trust {
	return &trust{machine: fsm.NewFSM(trusted, fsm.Events{
		{Name: eventEject, Src: []string{trusted, onTrial, ejected}, Dst: ejected},
		{Name: eventTry, Src: []string{ejected}, Dst: onTrial},
		{Name: eventAccept, Src: []string{trusted, onTrial, ejected}, Dst: trusted},
	}, fsm.Callbacks{})}
}

// fire moves the machine; an event that changes nothing is no error here.
func (t *trust) fire(e string) {
	_ = t.machine.Event(context.Background(), e)
}

// usable reports whether the target may be asked now.
func (t *trust) usable(now clock.Instant) bool {
	if t.machine.Current() == ejected && now >= t.until {
		t.fire(eventTry)
		t.trying = false
	}
	switch t.machine.Current() {
	case trusted:
		return true
	case onTrial:
		return !t.trying
	default:
		return false
	}
}

// begin notes that a request is sent.
func (t *trust) begin() {
	t.trying = true
}

// success notes a whole answer and reports whether the target is trusted again by it.
func (t *trust) success() bool {
	t.failures, t.ejections, t.trying = 0, 0, false
	again := t.machine.Current() != trusted
	t.fire(eventAccept)
	return again
}

// failure notes a request that brought no good answer and reports whether the target is ejected by it.
func (t *trust) failure(now clock.Instant) bool {
	t.trying = false
	t.failures++
	if t.failures < failuresToEject && t.machine.Current() == trusted {
		return false
	}
	t.until = now.Add(min(minEjection<<min(t.ejections, 8), maxEjection))
	t.ejections++
	t.fire(eventEject)
	return true
}

// neutral notes a request that tells nothing of the target.
func (t *trust) neutral() {
	t.trying = false
}

// state names the state for logs and the dump.
func (t *trust) state() string {
	return t.machine.Current()
}
