package rollout

import (
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/wire"
)

// Action is something that a decider wants done; its implementations are distinguished by type.
type Action interface {
	action()
}

// WriteStatus asks for a conditional update of the status of the order. The decider repeats it until Decider.Update
// shows a status that makes it unnecessary.
type WriteStatus struct {
	Service ident.Service
	// Revision is the revision of the object that the update replaces.
	Revision ident.Revision
	Status   Status
	// Reason says in a few words why, for the log.
	Reason string
}

// SendStop asks for a message to all members, including this one, by which they stop using the new version. It is
// repeated, since datagrams may get lost.
type SendStop struct {
	Message *wire.RolloutMessage
}

// Acknowledge asks for a message to the VM that has sent a report.
type Acknowledge struct {
	To      ident.VM
	Message *wire.RolloutMessage
}

func (WriteStatus) action() {}
func (SendStop) action()    {}
func (Acknowledge) action() {}
