package catalog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/rollout"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// ErrHistoryGone means that the store no longer has the changes since a revision; the kind must be listed again.
var ErrHistoryGone = errors.New("catalog: the store no longer has the changes since this revision")

// ErrUnreadable means that the store accepted a call, but its response could not be read to the end.
var ErrUnreadable = errors.New("catalog: the response of the store can't be read")

// Kind is a kind of objects in the store, each with its own listing and watch.
type Kind int

// The kinds that the catalog follows. Rollouts is followed only on deployments that have roll-outs.
const (
	Configurations Kind = iota
	Targets
	Evacuations
	Members
	Rollouts
	// KindCount is the number of kinds.
	KindCount
)

var kindNames = [KindCount]string{"configurations", "targets", "evacuations", "members", "rollouts"}

// baseKinds are the kinds that every catalog follows.
var baseKinds = []Kind{Configurations, Targets, Evacuations, Members}

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	return kindNames[k]
}

// Entry is the decoded content of an object.
type Entry interface {
	entry()
}

// Configuration is a version of the routing table.
type Configuration struct {
	Table *route.Table
	// Findings says which entries of the version can't be used; the rest of it takes effect.
	Findings []error
}

// Registration is the entry that a target has written to register itself.
type Registration struct{ Target roster.Target }

// Evacuation takes a data centre out of service for as long as the object exists.
type Evacuation struct{ DataCentre ident.DataCentre }

// Standing says whether a VM of the system may keep allowances of teams.
type Standing string

// The standings of a VM.
const (
	// Present is the standing of a VM that may keep allowances.
	Present Standing = ""
	// Absent is the standing of a VM that did not answer a reader of the store for a while. Others keep in its place.
	Absent Standing = "Absent"
	// Returning is the standing of a VM that runs again. It counts among the VMs that may keep allowances, but keeps none
	// until those that kept in its place have stopped.
	Returning Standing = "Returning"
)

// Membership is the entry of a VM of the system.
type Membership struct {
	Member   roster.Member
	Standing Standing
}

// Rollout is an operator's order to move the traffic of a service to targets of a new version, with the status that the
// system has last written.
type Rollout struct {
	Service    ident.Service
	NewVersion ident.TargetVersion
	// Duration is the time limit of the order.
	Duration time.Duration
	// Status is the status that the system has last written; empty if there is none.
	Status rollout.Status
	// Revision is the store revision of the object's last change.
	Revision ident.Revision
}

// Undecodable is an object whose content can't be decoded.
type Undecodable struct{ Err error }

func (Configuration) entry() {}
func (Registration) entry()  {}
func (Evacuation) entry()    {}
func (Membership) entry()    {}
func (Rollout) entry()       {}
func (Undecodable) entry()   {}

// Record is an object of a kind.
type Record struct {
	Name     string
	Revision ident.Revision
	Entry    Entry
	// Raw is the object as encoded in the store, for sending it to other members; empty if it can't be decoded. It may
	// lack fields that the system doesn't read.
	Raw []byte
}

// Change is a record after a change, or the last state of a deleted one.
type Change struct {
	Record
	Deleted bool
	// InEra means, in a complete listing, that the change is known to have been made in the era of the listing. Other
	// records may have been taken over from the copy with which the era began.
	InEra bool
}

// Page is a part of a listing, sorted by name.
type Page struct {
	Records []Record
	More    bool
	// Last is the name of the last object, after which the next page begins.
	Last string
	// AsOf is the state of the store that the page shows.
	AsOf Position
	// LeftOut is the number of objects on the page without a name that can be read.
	LeftOut int
}

// Batch holds the last change of each object between two positions of one era; AsOf is the later one.
type Batch struct {
	Changes []Change
	AsOf    Position
	// LeftOut is the number of changes to objects without a name that can be read.
	LeftOut int
}

// Freshness says whether a listing may be out of date.
type Freshness int

// The levels of freshness.
const (
	// Current requires every change that was acknowledged before the call.
	Current Freshness = iota
	// Stale allows data that is some seconds old, which costs the store less.
	Stale
)

// Source accesses the store. Every call may fail, hang until the context ends, or succeed without its response
// arriving.
type Source interface {
	// List returns a page of the records of a kind whose names sort after the given one.
	List(ctx context.Context, k Kind, after string, f Freshness) (Page, error)
	// Watch waits at most the given time for changes after a revision; it fails with ErrHistoryGone if they are lost. The
	// changes are of the store's current era, which may be later than the one in which it had that revision.
	Watch(ctx context.Context, k Kind, since ident.Revision, wait time.Duration) (Batch, error)
	// Decode decodes an object as encoded in the store. It fails only if no name can be read in it.
	Decode(k Kind, raw []byte) (Record, error)
	// Register writes the entry of a member, replacing an older one, and returns the position of the entry.
	Register(ctx context.Context, m roster.Member) (Position, error)
	// WriteStanding replaces the standing in the entry of a member that is at the given revision. It fails if the entry
	// has changed since.
	WriteStanding(ctx context.Context, m roster.Member, r ident.Revision, s Standing) error
}

// RolloutWriter writes the statuses of orders to the store.
type RolloutWriter interface {
	// WriteRolloutStatus replaces the status of an order if its object is still at the given revision. Otherwise it fails
	// with a ConflictError.
	WriteRolloutStatus(ctx context.Context, s ident.Service, r ident.Revision, n rollout.Status) (Record, error)
}

// ConflictError means that an object has been changed since the revision for which a write was made.
type ConflictError struct {
	// Current is the object as the store holds it.
	Current Record
}

// Error returns the name and the present revision of the object.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("catalog: %s has been changed and is at revision %d", e.Current.Name, e.Current.Revision)
}
