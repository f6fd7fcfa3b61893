package shard

import (
	"sync/atomic"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/wire"
)

// Table holds the shards of one configuration and their owners under one epoch, computed once for all requests.
type Table struct {
	config   *config.Config
	epoch    *wire.Epoch
	services map[ident.Service]*ServiceShards
	entries  map[ident.Shard]*entry
}

// ServiceShards is a service with its shards.
type ServiceShards struct {
	Service *config.Service
	Shards  []Shard
}

// entry is one shard with its service and its owner; the owner is computed on first use.
type entry struct {
	shard   *Shard
	service *ServiceShards
	owner   atomic.Pointer[wire.Member]
}

// TableCache holds the newest table; it is safe for concurrent use.
type TableCache struct {
	newest atomic.Pointer[Table]
}

// For returns the table for a view. It is recomputed only when the configuration or the epoch has changed.
func (t *TableCache) For(v *view.View) *Table {
	o := t.newest.Load()
	if o != nil && o.config == v.Config && o.epoch == v.Epoch {
		return o
	}
	n := newTable(v, o)
	t.newest.Store(n)
	return n
}

func newTable(v *view.View, old *Table) *Table {
	t := &Table{config: v.Config, epoch: v.Epoch, entries: map[ident.Shard]*entry{}}
	if old != nil && old.config == v.Config {
		t.services = old.services
	} else {
		t.services = shardsByService(v.Config)
	}
	for _, g := range t.services {
		for i := range g.Shards {
			t.entries[g.Shards[i].ID] = &entry{shard: &g.Shards[i], service: g}
		}
	}
	return t
}

func shardsByService(c *config.Config) map[ident.Service]*ServiceShards {
	r := map[ident.Service]*ServiceShards{}
	for i := range c.Service {
		s := &c.Service[i]
		r[s.Name] = &ServiceShards{Service: s, Shards: Split(s)}
	}
	return r
}

// Service returns a service with its shards.
func (t *Table) Service(n ident.Service) (*ServiceShards, bool) {
	g, ok := t.services[n]
	return g, ok
}

// Shard returns a shard and its service.
func (t *Table) Shard(id ident.Shard) (*Shard, *config.Service, bool) {
	p, ok := t.entries[id]
	if !ok {
		return nil, nil, false
	}
	return p.shard, p.service.Service, true
}

// Dispatcher returns the member that dispatches a shard, which is the owner or its deputy, or nil when there is none.
// The view must be the one that the table was computed for.
func (t *Table) Dispatcher(id ident.Shard, v *view.View) *wire.Member {
	o := t.Owner(id)
	if o == nil {
		return nil
	}
	return DispatcherOf(o, v)
}

// Owner returns the owner of a shard under the table's epoch, or nil when there is none.
func (t *Table) Owner(id ident.Shard) *wire.Member {
	p, ok := t.entries[id]
	if !ok {
		return nil
	}
	if m := p.owner.Load(); m != nil {
		return m
	}
	m, ok := Owner(id, p.shard.DataCentre, t.epoch.GetMembers())
	if !ok {
		return nil
	}
	p.owner.Store(m)
	return m
}
