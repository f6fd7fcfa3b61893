package load

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// Arrival is one planned request of a caller.
type Arrival struct {
	// At is the intended send time, counted from the start of the run.
	At      time.Duration
	ID      ident.Request
	Key     ident.Key
	Service *config.Service
	Class   *config.Class
	// VM is the index, from 0, of the entry VM that the platform's balancer picks.
	VM int
	// Path is the path of the request. A poison request, which crashes the upstream that runs it, has a special path.
	Path string
}

// Plan describes an open-loop load.
type Plan struct {
	Config *config.Config
	// Load is the utilization: the share of the slot time of each service that the requests use. Slot time is the number
	// of slots times the duration.
	Load float64
	// Mean is the mean service time.
	Mean time.Duration
	// For is the time during which requests are sent.
	For time.Duration
	// Ramp is the time at the start during which the load is at most RampLoad, so that owners learn the state of their
	// targets first.
	Ramp time.Duration
	VMs  int
	Seed uint64
}

// Arrivals returns the requests of a plan in order of time. Those of each service are a Poisson process, and their
// classes are drawn uniformly. The same plan always gives the same requests.
func (p *Plan) Arrivals() []Arrival {
	var l []Arrival
	for i := range p.Config.Service {
		s := &p.Config.Service[i]
		r := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		slots := float64(len(s.Upstream) * int(s.Slots))
		for t := time.Duration(0); ; {
			t += time.Duration(r.ExpFloat64() * float64(p.Mean) / (p.loadAt(t) * slots))
			if t >= p.For {
				break
			}
			l = append(l, p.newArrival(r, s, t, len(l)))
		}
	}
	sort.SliceStable(l, func(i, j int) bool { return l[i].At < l[j].At })
	return l
}

// RampLoad is the highest load during Plan.Ramp.
const RampLoad = 0.3

// loadAt returns the load at a time from the start of the run.
func (p *Plan) loadAt(t time.Duration) float64 {
	if t < p.Ramp {
		return min(p.Load, RampLoad)
	}
	return p.Load
}

// newArrival draws the class and the entry VM of the n-th request.
func (p *Plan) newArrival(r *rand.Rand, s *config.Service, at time.Duration, n int) Arrival {
	c := &s.Class[r.IntN(len(s.Class))]
	a := Arrival{
		At: at, ID: ident.Request(fmt.Sprintf("%d-%d-%s", p.Seed, n, c.Name)), Service: s, Class: c,
		VM: r.IntN(p.VMs), Path: fmt.Sprintf("%s/%d", c.PathPrefix, n),
	}
	if !c.Idempotent {
		a.Key = ident.Key("key-" + string(a.ID))
	}
	return a
}
