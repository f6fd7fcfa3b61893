package overflow

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Sample is what a target reported of its load.
type Sample struct {
	Service    ident.Service
	DataCentre ident.DataCentre
	// Running and Waiting are the numbers of requests that the target runs and queues, and Slots how many it can run.
	Running, Waiting, Slots int
}

// Load is the load of the targets of one service in one data centre, as a sum over samples. Targets that run slowly
// need no weight of their own: they hold requests for longer, which shows in Busy.
type Load struct {
	Service    ident.Service
	DataCentre ident.DataCentre
	// Busy is the number of requests that are running or waiting, and Slots how many can run at the same time.
	Busy, Slots float64
}

// occupancy returns the requests per slot; it exceeds 1 when requests wait.
func (l *Load) occupancy() float64 {
	if l.Slots <= 0 {
		return 0
	}
	return l.Busy / l.Slots
}

// Sum returns the load by service and data centre, sorted by these names.
func Sum(samples []Sample) []Load {
	l := make([]Load, 0, len(samples))
	for _, s := range samples {
		l = append(l, Load{
			Service: s.Service, DataCentre: s.DataCentre, Busy: float64(s.Running + s.Waiting), Slots: float64(s.Slots),
		})
	}
	return merge(l)
}

// merge adds up the loads with the same service and data centre.
func merge(l []Load) []Load {
	slices.SortFunc(l, func(a, b Load) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	var r []Load
	for _, e := range l {
		if n := len(r); n > 0 && r[n-1].Service == e.Service && r[n-1].DataCentre == e.DataCentre {
			r[n-1].Busy += e.Busy
			r[n-1].Slots += e.Slots
			continue
		}
		r = append(r, e)
	}
	return r
}

// reportTime is how long the report of a member counts: members report every second, and one of three may get lost.
const reportTime = 1500 * time.Millisecond

// report is the last report of a member.
type report struct {
	at    clock.Instant
	loads []Load
}

// Collector adds up the reports of the members. It is not safe for concurrent use.
type Collector struct {
	reports map[ident.Address]report
}

// NewCollector returns a collector without reports.
func NewCollector() *Collector {
	return &Collector{reports: map[ident.Address]report{}}
}

// Add replaces the report of a member.
func (c *Collector) Add(now clock.Instant, from ident.Address, l []Load) {
	c.reports[from] = report{at: now, loads: l}
}

// Summary returns the sum of the reports that are not out of date, and forgets the others.
func (c *Collector) Summary(now clock.Instant) []Load {
	var l []Load
	for a, r := range c.reports {
		if now.Sub(r.at) > reportTime {
			delete(c.reports, a)
			continue
		}
		l = append(l, r.loads...)
	}
	return merge(l)
}
