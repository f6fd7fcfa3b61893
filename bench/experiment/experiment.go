package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/bench/fleet"
	"github.com/amaranthramp/amaranthramp/bench/load"
	"github.com/amaranthramp/amaranthramp/bench/policy"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/standin/judge"
	"github.com/amaranthramp/amaranthramp/standin/server"
)

// Options configure a set of experiments.
type Options struct {
	Fleet fleet.Options
	// Deployments are the directories of the configurations, below examples.
	Deployments []string
	// Loads are utilizations: shares of the upstreams' slot time that the requests use.
	Loads []float64
	// Only holds the names of the variants to run; empty means all.
	Only []string
	// For is the duration of each measurement. Its first part, of length Skip, has a load of at most load.RampLoad and
	// is not counted.
	For, Skip time.Duration
	Seed      uint64
	// Report is the directory for the tables and charts.
	Report string
}

// variant is one of the compared load balancers: the system, a baseline policy or the ideal queue.
type variant struct {
	name string
	// policy is nil for the system itself and for the ideal queue.
	policy policy.Policy
	ideal  bool
}

func variants() []variant {
	return []variant{
		{name: "random", policy: policy.Random{}},
		{name: "round robin", policy: policy.RoundRobin{}},
		{name: "two on reported load", policy: policy.PowerOfTwoChoices{}},
		{name: "least in flight locally", policy: policy.LeastLocalInFlight{}},
		{name: "amaranthramp"},
		{name: "ideal central queue", ideal: true},
	}
}

// point is the result of one variant at one utilization.
type point struct {
	load    float64
	result  *load.Result
	verdict *judge.Verdict
}

// Run runs all experiments and writes the tables to w and to the report directory, with a chart for each table.
func Run(ctx context.Context, o *Options, w io.Writer) error {
	if err := os.MkdirAll(o.Report, 0o755); err != nil {
		return fmt.Errorf("create report directory: %w", err)
	}
	f, err := os.Create(filepath.Join(o.Report, "bench.txt"))
	if err != nil {
		return fmt.Errorf("create report: %w", err)
	}
	defer func() { _ = f.Close() }()
	out := io.MultiWriter(w, f)
	_, _ = fmt.Fprintf(out, "Seed %d, %s a point of which %s are not counted, mean service time %s, %d VMs\n", o.Seed,
		o.For, o.Skip, o.Fleet.Mean, o.Fleet.VMs)
	for _, d := range o.Deployments {
		for _, straggle := range []bool{false, true} {
			if err := o.table(ctx, d, straggle, out); err != nil {
				return err
			}
		}
	}
	return nil
}

// table runs all variants at all loads for one deployment and writes a table and a chart.
func (o *Options) table(ctx context.Context, deployment string, straggle bool, w io.Writer) error {
	title := deployment
	if straggle {
		title += ", one straggler a service"
	}
	_, _ = fmt.Fprintf(w, "\n%s\n", title)
	writeHeader(w)
	var lines []series
	for _, c := range variants() {
		if len(o.Only) > 0 && !slices.Contains(o.Only, c.name) {
			continue
		}
		l := series{name: c.name}
		for _, utilization := range o.Loads {
			p, err := o.point(ctx, deployment, straggle, &c, utilization)
			if err != nil {
				return fmt.Errorf("%s at utilization %.2f: %w", c.name, utilization, err)
			}
			p.write(w, c.name)
			l.points = append(l.points, p)
		}
		lines = append(lines, l)
	}
	return writeChart(o.Report, title, lines)
}

// point runs one variant at one load on a new deployment.
func (o *Options) point(ctx context.Context, deployment string, straggle bool, c *variant,
	utilization float64,
) (p *point, err error) {
	fo := o.Fleet
	fo.Configuration = filepath.Join("examples", deployment, "configuration.toml")
	if c.policy != nil || c.ideal {
		fo.VMs = 0
	}
	f, err := fleet.Start(ctx, fo)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	a := (&load.Plan{
		Config: f.Config, Load: utilization, Mean: o.Fleet.Mean, For: o.For, Ramp: o.Skip, VMs: o.Fleet.VMs,
		Seed: o.Seed,
	}).Arrivals()
	if c.ideal {
		return &point{load: utilization, result: policy.Ideal(a, o.Fleet.Mean).After(o.Skip), verdict: &judge.Verdict{}}, nil
	}
	if straggle {
		if err := f.InjectFault(ctx, stragglerFault(f, o.For)); err != nil {
			return nil, err
		}
	}
	r := load.Run(ctx, a, o.sender(f, c))
	v, err := f.Verdict(ctx)
	if err != nil {
		return nil, err
	}
	return &point{load: utilization, result: r.After(o.Skip), verdict: v}, nil
}

// sender returns the sender of a variant other than the ideal queue.
func (o *Options) sender(f *fleet.Fleet, c *variant) load.Sender {
	if c.policy == nil {
		return load.NewEntries(f.Endpoints())
	}
	return policy.NewDirect(c.policy, f.Config, o.Fleet.VMs, o.Seed)
}

// stragglerFault returns the fault that makes the first upstream of each service a straggler.
func stragglerFault(f *fleet.Fleet, d time.Duration) judge.FaultRequest {
	var l []ident.Upstream
	for i := range f.Config.Service {
		l = append(l, f.Config.Service[i].Upstream[0].Name)
	}
	return judge.FaultRequest{Upstream: l, Fault: server.Fault{Kind: server.Straggle, For: 2 * d}}
}
