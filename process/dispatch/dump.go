package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/target"
)

// ShardDump is the state of one shard for the dump.
type ShardDump struct {
	ID     ident.Shard
	Queued int
	// Load is the number of queued requests and requests in flight per usable slot.
	Load float64
	// Service is the mean service time: how long a request holds a slot.
	Service string
	// Lost means that this member no longer dispatches the shard, but keeps it for the handover.
	Lost    bool
	Targets []TargetDump
}

// TargetDump is the state of one target for the dump.
type TargetDump struct {
	Name     ident.Upstream
	Address  ident.Address
	State    target.State
	Limit    ident.Slots
	InFlight int
	// Pace is the recent latency of the target's answers, and Past the baseline latency that it is compared with.
	Pace string
	Past string
	// ProbeTime is the slot time that this owner's probes of the target have used, and ProbeBudget the slot time that they
	// were allowed to use.
	ProbeTime   string
	ProbeBudget string
}

// Dump returns the state of every shard that this member dispatches or still has requests of, sorted by id.
func (d *Dispatcher) Dump() []ShardDump {
	now := d.clock.Now()
	l := []ShardDump{}
	for _, o := range d.allSchedulers() {
		o.mu.Lock()
		l = append(l, o.scheduler.dump(now))
		o.mu.Unlock()
	}
	slices.SortFunc(l, func(a, b ShardDump) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return l
}

func (s *scheduler) dump(now clock.Instant) ShardDump {
	r := ShardDump{
		ID: s.id, Queued: s.queue.Len(), Load: s.load(now), Service: s.serviceTime.Round(time.Microsecond).String(),
		Lost: s.formerOwnership != nil,
	}
	for _, p := range s.targets {
		n := p.target.Snapshot(now)
		r.Targets = append(r.Targets, TargetDump{
			Name: p.name, Address: p.address, State: n.State, Limit: n.Limit, InFlight: n.InFlight,
			Pace: n.RecentLatency.Round(time.Microsecond).String(), Past: n.BaselineLatency.Round(time.Microsecond).String(),
			ProbeTime: p.probeBudget.Used().String(), ProbeBudget: p.probeBudget.Allowed(now, s.probeRate).String(),
		})
	}
	return r
}
