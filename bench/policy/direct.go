package policy

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/amaranthramp/amaranthramp/bench/load"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// Direct sends requests directly to upstreams. Each service has several choosers, which stand for entry VMs.
type Direct struct {
	client   *load.Client
	choosers map[ident.Service][]*Chooser
}

// NewDirect returns a sender with the given number of choosers for each service.
func NewDirect(p Policy, c *config.Config, choosers int, seed uint64) *Direct {
	d := &Direct{client: load.NewClient(), choosers: map[ident.Service][]*Chooser{}}
	for i := range c.Service {
		s := &c.Service[i]
		for n := range choosers {
			r := rand.New(rand.NewPCG(seed, uint64(i*choosers+n)))
			d.choosers[s.Name] = append(d.choosers[s.Name], NewChooser(p, s.Upstream, r))
		}
	}
	return d
}

// Send sends the request to the target that the chooser of the arrival's entry VM picks.
func (d *Direct) Send(ctx context.Context, a *load.Arrival) load.Answer {
	l := d.choosers[a.Service.Name]
	c := l[a.VM%len(l)]
	i := c.Begin()
	r, _ := d.client.Do(ctx, "http://"+string(a.Service.Upstream[i].Address), a, time.Duration(a.Class.Deadline))
	n, err := strconv.Atoi(r.Load)
	if err != nil {
		n = -1
	}
	c.End(i, n)
	r.ID = a.ID
	return r
}
