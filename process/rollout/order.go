package rollout

import (
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Bound bounds the requests that reach a bad version of a service.
type Bound struct {
	// Share and Slack bound the requests that a bad version gets until the time limit of the order: to Share of all
	// requests of the service, plus Slack.
	Share ident.Share
	Slack float64
	// Rollback is the time after the 50th bad response from which no request may be sent to a bad version.
	Rollback time.Duration
	// Contact is how long a member may be silent before it counts as out of touch.
	Contact time.Duration
}

// OrderID identifies an order of a service: the revision of the store with which the order, not its status, was
// written.
type OrderID uint64

// Progress is the state of an order in the store; it is empty before the first status is written.
type Progress string

// States of an order.
const (
	Running    Progress = "running"
	Completed  Progress = "completed"
	RolledBack Progress = "rolled_back"
)

// Phase is the phase of a running order.
type Phase string

// Phases of an order that runs; an empty phase means Probing.
const (
	// Probing means that the new version gets a small share of the requests.
	Probing Phase = "Probing"
	// Moving means that the new version has been proved good and gets all requests that it can take.
	Moving Phase = "Moving"
)

// Status is the status of an order in the store.
type Status struct {
	State Progress
	// Version is the new version of the order to which the status belongs.
	Version ident.TargetVersion
	Phase   Phase
	// Order identifies the order to which the status belongs; zero if the store does not tell. It is a field of our own,
	// like Phase, and must be written with the status.
	Order OrderID
	// Excluded lists the versions of earlier orders that have not been completed. They must not be used as old ones. It is
	// a field of our own, too.
	Excluded VersionList
}

// Order requests that the traffic of a service move to a new version.
type Order struct {
	Service  ident.Service
	Version  ident.TargetVersion
	ID       OrderID
	Duration time.Duration
	// Revision is the revision of the object in the store, for conditional updates of its status.
	Revision ident.Revision
	// Status is the status in the store. One that belongs to another order must be left out.
	Status Status
	// LearnedAt is when this VM first saw the order.
	LearnedAt clock.Instant
	// Excluded lists the versions of earlier orders that have not been completed, as far as the store shows them.
	Excluded VersionList
}

// NewOrder returns the order of version v of a service as read from the store, with the given revision and status. The
// status may belong to an earlier order, which this one replaces.
func NewOrder(
	service ident.Service, v ident.TargetVersion, d time.Duration, r ident.Revision, s Status, learnedAt clock.Instant,
) Order {
	id, mine := Identify(r, v, s)
	o := Order{Service: service, Version: v, ID: id, Duration: d, Revision: r, LearnedAt: learnedAt}
	if mine {
		o.Status, o.Excluded = s, s.Excluded
		return o
	}
	if s.State != "" {
		o.Excluded = s.Excluded.after(s.Version, s.State).Without(v)
	}
	return o
}

// Identify returns the ID of an order of the new version v that was read with the given revision and status, and
// whether the status belongs to the order. A status that names another version was left behind by an earlier order.
func Identify(r ident.Revision, v ident.TargetVersion, s Status) (OrderID, bool) {
	if s.State == "" || s.Version != v || s.Order == 0 {
		return OrderID(r), s.State != "" && s.Version == v
	}
	return s.Order, true
}

// ended reports whether the order has been completed or rolled back.
func (s Status) ended() bool {
	return s.State == Completed || s.State == RolledBack
}

// rank orders the statuses of one order by time.
func (s Status) rank() int {
	switch {
	case s.ended():
		return 3
	case s.State == Running && s.Phase == Moving:
		return 2
	case s.State == Running:
		return 1
	}
	return 0
}
