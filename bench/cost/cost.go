package cost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/amaranthramp/amaranthramp/bench/capacity"
	"github.com/amaranthramp/amaranthramp/bench/fleet"
	"github.com/amaranthramp/amaranthramp/bench/load"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// Options configure the measurement.
type Options struct {
	Fleet fleet.Options
	// Loads are utilizations: shares of the slot time of all upstreams. At zero the deployment is idle.
	Loads []float64
	For   time.Duration
	Seed  uint64
}

// sample holds the costs at one load, as means over the VMs: answered calls per second, CPU cores used and memory.
type sample struct {
	rate          float64
	entryCores    float64
	controlCores  float64
	entryMemory   ident.Bytes
	controlMemory ident.Bytes
}

// Run prints a row for each load, and the costs of an idle VM and of a call, from lines fitted over the rate of calls.
func Run(ctx context.Context, o *Options, w io.Writer) (err error) {
	f, err := fleet.Start(ctx, o.Fleet)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	_, _ = fmt.Fprintf(w, "%d VMs, %s at each load, seed %d; percent of a core for each process\n",
		len(f.VMs), o.For, o.Seed)
	_, _ = fmt.Fprintf(w, "%12s %10s %10s %12s %12s\n", "Calls/s a VM", "Entry %", "Control %", "Entry MB", "Control MB")
	var x, entry, control []float64
	for _, l := range o.Loads {
		s, err := o.measure(ctx, f, l)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(w, "%12.1f %10.2f %10.2f %12.1f %12.1f\n",
			s.rate, 100*s.entryCores, 100*s.controlCores, megabytes(s.entryMemory), megabytes(s.controlMemory))
		x, entry, control = append(x, s.rate), append(entry, s.entryCores), append(control, s.controlCores)
	}
	e, c := capacity.Fit(x, entry), capacity.Fit(x, control)
	_, _ = fmt.Fprintf(w, "entry: %.2f%% of a core idle and %.0f us a call; control: %.2f%% idle and %.1f us a call\n",
		100*e.Intercept, 1e6*e.Slope, 100*c.Intercept, 1e6*c.Slope)
	return nil
}

// measure measures the costs at one utilization.
func (o *Options) measure(ctx context.Context, f *fleet.Fleet, utilization float64) (sample, error) {
	before, err := totalUsage(f)
	if err != nil {
		return sample{}, err
	}
	start := time.Now()
	done, err := o.send(ctx, f, utilization)
	if err != nil {
		return sample{}, err
	}
	seconds := time.Since(start).Seconds()
	after, err := totalUsage(f)
	if err != nil {
		return sample{}, err
	}
	n := float64(len(f.VMs))
	return sample{
		rate:          float64(done) / seconds / n,
		entryCores:    (after.entry.CPU - before.entry.CPU).Seconds() / seconds / n,
		controlCores:  (after.control.CPU - before.control.CPU).Seconds() / seconds / n,
		entryMemory:   after.entry.Resident / ident.Bytes(len(f.VMs)),
		controlMemory: after.control.Resident / ident.Bytes(len(f.VMs)),
	}, nil
}

// send sends calls at the given utilization and returns the number of calls with the outcome Done. At a utilization of
// zero it sends none and waits as long as the calls would take.
func (o *Options) send(ctx context.Context, f *fleet.Fleet, utilization float64) (int, error) {
	if utilization == 0 {
		select {
		case <-time.After(o.For):
			return 0, nil
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	p := load.Plan{
		Config: f.Config, Load: utilization, Mean: o.Fleet.Mean, For: o.For, VMs: len(f.VMs), Seed: o.Seed,
	}
	r := load.Run(ctx, p.Arrivals(), load.NewEntries(f.Endpoints()))
	return r.Total().Outcomes[outcome.Done], nil
}

// fleetUsage is the total usage of the entry processes and of the control processes of all VMs.
type fleetUsage struct {
	entry   fleet.Usage
	control fleet.Usage
}

// totalUsage sums the usage of all VMs.
func totalUsage(f *fleet.Fleet) (fleetUsage, error) {
	var s fleetUsage
	for _, v := range f.VMs {
		e, err := v.Entry.Usage()
		if err != nil {
			return s, err
		}
		c, err := v.Control.Usage()
		if err != nil {
			return s, err
		}
		s.entry.CPU += e.CPU
		s.entry.Resident += e.Resident
		s.control.CPU += c.CPU
		s.control.Resident += c.Resident
	}
	return s, nil
}

func megabytes(b ident.Bytes) float64 {
	return float64(b) / (1 << 20)
}
