package shard

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/wire"
)

// Shard holds the targets of one service in one data centre, or one part of them if the service has several shards in
// each data centre.
type Shard struct {
	ID         ident.Shard
	Service    ident.Service
	DataCentre ident.DataCentre
	Upstreams  []config.Upstream
}

// Split returns the shards of a service that hold at least one target.
//
// A target's shard depends only on its name, its data centre and the configured number of shards, so that adding a
// target moves no other.
func Split(s *config.Service) []Shard {
	var r []Shard
	indexOf := map[ident.Shard]int{}
	for _, u := range s.Upstream {
		id := idOf(s, u)
		i, ok := indexOf[id]
		if !ok {
			i = len(r)
			indexOf[id] = i
			r = append(r, Shard{ID: id, Service: s.Name, DataCentre: u.DataCentre})
		}
		r[i].Upstreams = append(r[i].Upstreams, u)
	}
	return r
}

// Owner returns the member that owns the shard among the members of an epoch, by rendezvous hashing: the one with the
// highest hash in the shard's data centre, or among all members if there is none in that data centre.
func Owner(id ident.Shard, d ident.DataCentre, members []*wire.Member) (*wire.Member, bool) {
	if m, ok := highestHash(id, members, d); ok {
		return m, true
	}
	return highestHash(id, members, "")
}

// DispatcherOf returns the member that dispatches the shards of an owner: the owner itself, or its deputy while the
// owner is silent.
func DispatcherOf(owner *wire.Member, v *view.View) *wire.Member {
	if d, ok := v.Deputies[ident.Member(owner.GetId())]; ok {
		return d.Member
	}
	return owner
}

// Ready reports whether no owner under an earlier epoch can still hold a valid lease for the shard.
func Ready(id ident.Shard, d ident.DataCentre, v *view.View) bool {
	return ReadyWithReleases(id, d, v, func(ident.Shard, ident.Member, ident.Epoch) bool { return false })
}

// ReadyWithReleases is like Ready, but ignores a former owner's lease under an epoch for which it has released the
// shard. The function released reports whether it has.
func ReadyWithReleases(id ident.Shard, d ident.DataCentre, v *view.View,
	released func(s ident.Shard, m ident.Member, e ident.Epoch) bool,
) bool {
	for _, e := range v.Epoch.GetEarlier() {
		m, ok := Owner(id, d, e.GetMembers())
		if !ok {
			continue
		}
		for _, o := range e.GetOpen() {
			if o == m.GetId() && !released(id, ident.Member(o), ident.Epoch(e.GetNumber())) {
				return false
			}
		}
	}
	return true
}

func idOf(s *config.Service, u config.Upstream) ident.Shard {
	n := 0
	if s.Shards > 1 {
		n = int(xxhash.Sum64String(string(u.Name)) % uint64(s.Shards))
	}
	return ident.Shard(string(s.Name) + "/" + string(u.DataCentre) + "/" + strconv.Itoa(n))
}

func highestHash(id ident.Shard, members []*wire.Member, d ident.DataCentre) (*wire.Member, bool) {
	var r *wire.Member
	var top uint64
	for _, m := range members {
		if d != "" && m.GetDataCentre() != string(d) {
			continue
		}
		h := xxhash.Sum64String(string(id) + "|" + m.GetId())
		if r == nil || h > top {
			r, top = m, h
		}
	}
	return r, r != nil
}
