package gateway

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/allowance"
)

// Dump is the state of a gateway, as served to operators at /dump.
type Dump struct {
	VM      ident.VM
	Version ident.Version
	// Eras and Revisions are the states of the store up to which this VM knows each kind of object.
	Eras      []ident.Era
	Revisions []ident.Revision
	Draining  bool
	// Teams is the number of teams of the configuration; the dump holds no API key.
	Teams int
	// Allowances are the parts of the allowances of teams that this VM keeps.
	Allowances []allowance.BucketState
	Targets    []TargetDump
	// Rollouts are the roll-outs of the services that have an order; left out on deployments without roll-outs.
	Rollouts []RolloutDump `json:",omitempty"`
	// Services are the services for which this gateway has chosen targets.
	Services []ServiceDump
}

// ServiceDump is the load of one service as this gateway sees it.
type ServiceDump struct {
	Service   ident.Service
	Saturated bool
	// Success is the share of the attempts to find a target that succeeded, and Capacity how many requests per second
	// found one while others waited.
	Success  ident.Share
	Capacity ident.Rate
	Waiting  int
}

// TargetDump is the state of one target as this gateway sees it.
type TargetDump struct {
	Target     ident.Target
	Service    ident.Service
	DataCentre ident.DataCentre
	// Trust is "Trusted", "Ejected" or "OnTrial".
	Trust string
	// InFlight and Connections count only the requests and connections of this gateway.
	InFlight    int
	Connections int
	// Running and Waiting are the numbers of requests that the target runs and queues, from all VMs, as it last reported.
	Running int
	Waiting int
	// Limit is how many requests per second the target takes from all VMs together, if Limited is true.
	Limit   ident.Rate
	Limited bool
	// Pace is the slowdown that the target last reported: how many times as long as normally its requests take.
	Pace float64
}

func (g *Gateway) dump() Dump {
	v := g.catalog.Get()
	d := Dump{VM: g.settings.Name, Draining: g.draining.Load(), Teams: g.teamCount()}
	d.Allowances = g.limiter.Buckets()
	for _, k := range g.catalog.Kinds() {
		d.Eras = append(d.Eras, v.Positions[k].Era)
		d.Revisions = append(d.Revisions, v.Positions[k].Revision)
	}
	if g.rollouts != nil {
		d.Rollouts = g.rollouts.dump()
	}
	if v.Table != nil {
		d.Version = v.Table.Version
	}
	for _, u := range g.upstreams.All() {
		r := u.LastReport()
		limit, limited := u.Limit()
		d.Targets = append(d.Targets, TargetDump{
			Target: u.Target.ID, Service: u.Target.Service, DataCentre: u.Target.DataCentre, Trust: u.TrustState(),
			InFlight: u.InFlight(), Connections: u.Connections(), Running: r.Running, Waiting: r.Waiting, Pace: r.Slowdown,
			Limit: limit, Limited: limited,
		})
	}
	for _, l := range g.chooser.Loads() {
		d.Services = append(d.Services, ServiceDump{
			Service: l.Service, Saturated: l.Saturated, Success: l.Success, Capacity: l.Capacity, Waiting: l.Waiting,
		})
	}
	slices.SortFunc(d.Targets, func(a, b TargetDump) int { return cmp.Compare(a.Target, b.Target) })
	return d
}

func (g *Gateway) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.dump()); err != nil {
		g.log.Warn().Err(err).Msg("could not write the dump")
	}
}
