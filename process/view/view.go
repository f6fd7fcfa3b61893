package view

import (
	"sync/atomic"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/wire"
)

// View is a consistent snapshot of the known state; it is immutable once stored.
type View struct {
	Self       ident.Member
	Epoch      *wire.Epoch
	Version    ident.Version
	Config     *config.Config
	LeaseUntil clock.Instant
	// Deputies are the members that dispatch the shards of silent members, by the silent member.
	Deputies map[ident.Member]Deputy
	// LeavingUpstreams are the addresses of upstreams that the platform lists as leaving.
	LeavingUpstreams map[ident.Address]bool
}

// Deputy is a member that dispatches the shards of a silent member.
type Deputy struct {
	Member *wire.Member
	// LeaseUntil is when the silent member's lease ends if the view's own member is the deputy, otherwise zero.
	LeaseUntil clock.Instant
}

// Holder holds the newest view; it is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[View]
}

// NewHolder returns a holder with an empty view.
func NewHolder() *Holder {
	h := &Holder{}
	h.Set(&View{Epoch: &wire.Epoch{}, Config: &config.Config{}})
	return h
}

// Get returns the newest view.
func (h *Holder) Get() *View {
	return h.current.Load()
}

// Set stores a new view.
func (h *Holder) Set(v *View) {
	h.current.Store(v)
}

// LeaseEndFor returns the end of the lease under which this member may dispatch an owner's shards, either its own lease
// or one that it holds as a deputy. It is zero without a lease.
func (v *View) LeaseEndFor(owner *wire.Member) clock.Instant {
	if owner.GetId() == string(v.Self) {
		return v.LeaseUntil
	}
	return v.Deputies[ident.Member(owner.GetId())].LeaseUntil
}

// HasLease reports whether this member's own lease is still valid at the given instant.
func (v *View) HasLease(now clock.Instant) bool {
	return v.LeaseUntil > now
}
