package target

import (
	"context"

	"github.com/looplab/fsm"
)

// State is the state of a target, which determines its limit.
type State string

// The states of a target.
const (
	// Cold means that the target gets no more than its cold limit, because nothing shows that it can take more.
	Cold State = "Cold"
	// Warming means that answers with a normal latency have raised the limit part of the way to the slots.
	Warming State = "Warming"
	// Warm means that all slots may be used.
	Warm State = "Warm"
	// Straggling means that the target has become much slower; it gets no more than its cold limit and is chosen last.
	Straggling State = "Straggling"
	// Suspect means that the target fails; it gets one trial request at a time, at growing intervals.
	Suspect State = "Suspect"
	// Leaving means that the target gets no new requests; those in flight finish.
	Leaving State = "Leaving"
	// Gone means that the target isn't in the configuration any more.
	Gone State = "Gone"
)

// The events of the state machine.
const (
	eventGrow    = "Grow"
	eventFill    = "Fill"
	eventSlow    = "Slow"
	eventRestart = "Restart"
	eventFail    = "Fail"
	eventLeave   = "Leave"
	eventReturn  = "Return"
	eventRemove  = "Remove"
)

func newMachine(s State) *fsm.FSM {
	return fsm.NewFSM(string(s), fsm.Events{
		{Name: eventGrow, Src: stateNames(Cold, Warming, Straggling), Dst: string(Warming)},
		{Name: eventFill, Src: stateNames(Cold, Warming, Straggling), Dst: string(Warm)},
		{Name: eventSlow, Src: stateNames(Warming, Warm), Dst: string(Straggling)},
		{Name: eventRestart, Src: stateNames(Cold, Warming, Warm, Straggling, Suspect), Dst: string(Cold)},
		{Name: eventFail, Src: stateNames(Cold, Warming, Warm, Straggling), Dst: string(Suspect)},
		{Name: eventLeave, Src: stateNames(Cold, Warming, Warm, Straggling, Suspect), Dst: string(Leaving)},
		{Name: eventReturn, Src: stateNames(Leaving, Gone), Dst: string(Cold)},
		{Name: eventRemove, Src: stateNames(Cold, Warming, Warm, Straggling, Suspect, Leaving), Dst: string(Gone)},
	}, fsm.Callbacks{})
}

func stateNames(l ...State) []string {
	r := make([]string, 0, len(l))
	for _, s := range l {
		r = append(r, string(s))
	}
	return r
}

// fire applies an event if the current state accepts it and reports whether it does.
func (t *Target) fire(event string) bool {
	if !t.machine.Can(event) {
		return false
	}
	// The only error that is still possible is that the event leads back to the same state.
	_ = t.machine.Event(context.Background(), event)
	t.state = State(t.machine.Current())
	return true
}
