package view

import (
	"sync/atomic"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/wire"
)

// View is one consistent set of what is known; it is never changed after it was stored.
type View struct {
	Self       ident.Member
	Epoch      *wire.Epoch
	Version    ident.Version
	Config     *config.Config
	LeaseUntil clock.Instant
	// Deputies are the members that dispatch the shards of silent ones, by the silent member.
	Deputies map[ident.Member]Deputy
	// Leaving are the addresses of upstreams that the platform lists as leaving.
	Leaving map[ident.Address]bool
}

// Deputy is a member that dispatches the shards of a silent one.
type Deputy struct {
	Member *wire.Member
	// LeaseUntil is when the silent member's lease ends if this member is the deputy; else zero.
	LeaseUntil clock.Instant
}

// Holder holds the newest view; it is safe for concurrent use.
type Holder struct {
	p atomic.Pointer[View]
}

// New returns a holder of an empty view.
func New() *Holder {
	h := &Holder{}
	h.Set(&View{Epoch: &wire.Epoch{}, Config: &config.Config{}})
	return h
}

// Get returns the newest view.
func (h *Holder) Get() *View {
	return h.p.Load()
}

// Set replaces the view.
func (h *Holder) Set(v *View) {
	h.p.Store(v)
}

// LeaseOf returns when the lease ends by which this member may dispatch an owner's shards; zero without one.
func (v *View) LeaseOf(owner *wire.Member) clock.Instant {
	if owner.GetId() == string(v.Self) {
		return v.LeaseUntil
	}
	return v.Deputies[ident.Member(owner.GetId())].LeaseUntil
}

// Leased reports whether this member may dispatch as an owner at the instant.
func (v *View) Leased(now clock.Instant) bool {
	return v.LeaseUntil > now
}
