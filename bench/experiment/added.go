package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/amaranthramp/amaranthramp/bench/fleet"
	"github.com/amaranthramp/amaranthramp/bench/load"
	"github.com/amaranthramp/amaranthramp/bench/policy"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/standin/server"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// AddedLimit is the maximum latency that the system may add to a call at the 99th percentile.
const AddedLimit = 1200 * time.Microsecond

// sampleLoad is the load of the sampled service on each of the two paths. It is low, so that calls don't wait for
// slots.
const sampleLoad = 0.03

// ErrAdded means that the system added more latency than AddedLimit.
var ErrAdded = errors.New("added latency above the limit")

// Added measures the latency that the system adds to a call. It loads all services but the last through the system, and
// concurrently sends calls to the last one both through the system and directly. The times that the calls took beyond
// their service times are compared between the two.
func Added(ctx context.Context, o *Options, w io.Writer) (err error) {
	o.Fleet.Warm = true
	f, err := fleet.Start(ctx, o.Fleet)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	system := load.NewEntries(f.Endpoints())
	direct := policy.NewDirect(policy.LeastLocalInFlight{}, f.Config, 1, o.Seed)
	n := len(f.Config.Service) - 1
	background := make(chan *load.Result, 1)
	directResult := make(chan *load.Result, 1)
	go func() { background <- load.Run(ctx, o.arrivals(f.Config.Service[:n], o.Loads[0], 0), system) }()
	go func() { directResult <- load.Run(ctx, o.arrivals(f.Config.Service[n:], sampleLoad, 1), direct) }()
	systemResult := load.Run(ctx, o.arrivals(f.Config.Service[n:], sampleLoad, 2), system).After(o.Skip)
	b := (<-background).Total()
	_, _ = fmt.Fprintf(w, "Load %.0f%% by %d background calls, of which %d answered; seed %d\n", 100*o.Loads[0],
		b.Requests, b.Outcomes[outcome.Done], o.Seed)
	return compare((<-directResult).After(o.Skip), systemResult, o.Fleet.Mean, w)
}

// arrivals plans calls to some of the services. Each number gives different request IDs.
func (o *Options) arrivals(l []config.Service, utilization float64, number uint64) []load.Arrival {
	p := load.Plan{
		Config: &config.Config{Service: l}, Load: utilization, Mean: o.Fleet.Mean, For: o.For, VMs: o.Fleet.VMs,
		Seed: o.Seed + number<<32,
	}
	return p.Arrivals()
}

// compare prints quantiles of the overhead of both paths and fails if their difference exceeds AddedLimit.
func compare(direct, system *load.Result, mean time.Duration, w io.Writer) error {
	d, s := overheads(direct, mean), overheads(system, mean)
	_, _ = fmt.Fprintf(w, "Latency beyond the service time, of %d direct calls and %d calls through the system:\n",
		d.TotalCount(), s.TotalCount())
	_, _ = fmt.Fprintf(w, "%-10s %12s %12s %12s\n", "Quantile", "Direct ms", "System ms", "Added ms")
	for _, q := range []float64{50, 90, 99, 99.9} {
		x, y := d.ValueAtQuantile(q), s.ValueAtQuantile(q)
		_, _ = fmt.Fprintf(w, "%-10.1f %12.3f %12.3f %12.3f\n", q, float64(x)/1000, float64(y)/1000, float64(y-x)/1000)
	}
	if time.Duration(s.ValueAtQuantile(99)-d.ValueAtQuantile(99))*time.Microsecond > AddedLimit {
		return fmt.Errorf("%w of %s", ErrAdded, AddedLimit)
	}
	return nil
}

// overheads returns the times in microseconds that calls with the outcome Done took beyond their service times.
func overheads(r *load.Result, mean time.Duration) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for i := range r.Sent {
		n := &r.Sent[i]
		if n.Answer.Outcome == outcome.Done {
			_ = h.RecordValue(max(1, (n.Latency - server.ServiceTime(n.ID, mean)).Microseconds()))
		}
	}
	return h
}
