package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/amaranthramp/amaranthramp/bench/fleet"
	"github.com/amaranthramp/amaranthramp/bench/load"
	"github.com/amaranthramp/amaranthramp/standin/judge"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// ErrViolated means that an invariant was violated.
var ErrViolated = errors.New("demo: an invariant was violated")

// The load and the times of the demonstration. The offsets count from its start; drainTime is the wait for upstreams to
// finish their remaining requests.
const (
	demoLoad            = 0.3
	demoTime            = 16 * time.Second
	outOffset           = 2 * time.Second
	inOffset            = 8 * time.Second
	killOffset          = 11 * time.Second
	demoMeanServiceTime = 20 * time.Millisecond
	demoSeed            = 1
	drainTime           = 500 * time.Millisecond
)

// Run starts a deployment, sends requests while a data centre is taken out and back in and a VM is killed, prints the
// results and stops the deployment.
func Run(ctx context.Context, o fleet.Options, w io.Writer) (err error) {
	o.Mean = demoMeanServiceTime
	f, err := fleet.Start(ctx, o)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	p := load.Plan{
		Config: f.Config, Load: demoLoad, Mean: demoMeanServiceTime, For: demoTime, VMs: len(f.VMs), Seed: demoSeed,
	}
	e := load.NewEntries(f.Endpoints())
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go e.Watch(watching)
	failed := make(chan error, 1)
	go func() { failed <- injectFaults(ctx, f, w) }()
	r := load.Run(ctx, p.Arrivals(), e)
	if err := <-failed; err != nil {
		return err
	}
	return report(ctx, f, r, w)
}

// injectFaults takes a data centre out and back in, and kills both processes of a VM.
func injectFaults(ctx context.Context, f *fleet.Fleet, w io.Writer) error {
	d := f.Config.DataCentre[1].Name
	start := time.Now()
	if err := sleepUntil(ctx, start.Add(outOffset)); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "%6.1fs data centre %s is taken out\n", outOffset.Seconds(), d)
	if err := f.SetDataCentre(ctx, d, config.Out); err != nil {
		return err
	}
	if err := sleepUntil(ctx, start.Add(inOffset)); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "%6.1fs data centre %s is taken back in\n", inOffset.Seconds(), d)
	if err := f.SetDataCentre(ctx, d, config.In); err != nil {
		return err
	}
	if err := sleepUntil(ctx, start.Add(killOffset)); err != nil {
		return err
	}
	v := f.VMs[len(f.VMs)-1]
	_, _ = fmt.Fprintf(w, "%6.1fs both processes of VM %s are killed\n", killOffset.Seconds(), v.Name)
	return errors.Join(v.Entry.Kill(), v.Control.Kill())
}

func sleepUntil(ctx context.Context, t time.Time) error {
	select {
	case <-time.After(time.Until(t)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// report prints the results and fails if an invariant was violated or no request ran.
func report(ctx context.Context, f *fleet.Fleet, r *load.Result, w io.Writer) error {
	if err := sleepUntil(ctx, time.Now().Add(drainTime)); err != nil {
		return err
	}
	v, err := f.Verdict(ctx)
	if err != nil {
		return err
	}
	r.WriteTable(w)
	r.WriteReasons(w)
	writeNonIdempotentRuns(w, r, v)
	l := load.CheckInvariants(r, v)
	load.WriteFindings(w, l)
	if load.Violations(l) > 0 || len(v.Runs) == 0 {
		return ErrViolated
	}
	return nil
}

// writeNonIdempotentRuns prints how often requests that are not idempotent ran.
func writeNonIdempotentRuns(w io.Writer, r *load.Result, v *judge.Verdict) {
	runs := map[int]int{}
	for i := range r.Sent {
		if n := &r.Sent[i]; !n.Class.Idempotent {
			runs[v.Runs[n.ID]]++
		}
	}
	_, _ = fmt.Fprintf(w, "Requests that must not repeat: %d ran once, %d never, %d more often\n", runs[1], runs[0],
		len(v.RanTwice))
}
