package catalog

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// ErrHistoryGone means that the store no longer has the changes since a revision, so that all must be listed again.
var ErrHistoryGone = errors.New("catalog: the store has dropped this history")

// Kind is one kind of objects in the store.
type Kind int

// The kinds that are followed.
const (
	Configurations Kind = iota
	Targets
	Evacuations
	Members
	// Kinds is how many there are.
	Kinds
)

var kindNames = [Kinds]string{"configurations", "targets", "evacuations", "members"}

// String names the kind for logs.
func (k Kind) String() string {
	return kindNames[k]
}

// Entry is the content of one object.
type Entry interface {
	entry()
}

// Configuration is a version of the routes.
type Configuration struct{ Table *route.Table }

// Registration is a target that has registered itself.
type Registration struct{ Target roster.Target }

// Evacuation takes a data centre out as long as it exists.
type Evacuation struct{ DataCentre ident.DataCentre }

// Membership is a VM of the system.
type Membership struct{ Member roster.Member }

// Unreadable is an object from which nothing can be used.
type Unreadable struct{ Err error }

func (Configuration) entry() {}
func (Registration) entry()  {}
func (Evacuation) entry()    {}
func (Membership) entry()    {}
func (Unreadable) entry()    {}

// Record is one object of a kind.
type Record struct {
	Name     string
	Revision ident.Revision
	Entry    Entry
	// Raw is the object as the store holds it, for other members.
	Raw []byte
}

// Change is a record as it is after a change, or the last state of one that was deleted.
type Change struct {
	Record
	Deleted bool
}

// Page is a part of a listing, ordered by name.
type Page struct {
	Records []Record
	More    bool
	// AsOf is the revision of the store that the page shows.
	AsOf ident.Revision
}

// Batch is the changes between two revisions.
type Batch struct {
	Changes []Change
	AsOf    ident.Revision
}

// Freshness is how current an answer of the store has to be.
type Freshness int

// The kinds of freshness.
const (
	// Current answers show every change that was acknowledged before.
	Current Freshness = iota
	// Stale answers cost less and may be seconds old.
	Stale
)

// Source reads objects from the store; every call may fail, hang until the context ends, or lose its answer.
type Source interface {
	// List returns the records of a kind whose names follow the given one.
	List(ctx context.Context, k Kind, after string, f Freshness) (Page, error)
	// Watch waits for changes after a revision, at most for the given time; it fails with ErrHistoryGone.
	Watch(ctx context.Context, k Kind, since ident.Revision, wait time.Duration) (Batch, error)
	// Decode reads an object as the store holds it.
	Decode(k Kind, raw []byte) (Record, error)
	// Register writes the entry of a member, replacing an older one.
	Register(ctx context.Context, m roster.Member) error
}
