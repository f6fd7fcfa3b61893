package command

import (
	"context"
	"flag"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/amaranthramp/amaranthramp/bench/cost"
)

// costLimit is the time limit of the whole measurement.
const costLimit = 5 * time.Minute

// costLoads are the shares of the upstreams' slot time at which cost is measured.
var costLoads = []float64{0, 0.2, 0.4, 0.6}

func costCommand(w io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("cost", flag.ContinueOnError)
	o := &cost.Options{Loads: costLoads}
	fleetFlags(f, &o.Fleet, "build/cost")
	f.DurationVar(&o.Fleet.Mean, "mean", 10*time.Millisecond, "mean service `TIME` of the upstreams")
	f.DurationVar(&o.For, "for", 8*time.Second, "`TIME` of each load")
	f.Uint64Var(&o.Seed, "seed", 1, "`SEED` of the arrivals")
	return &ffcli.Command{
		Name:       "cost",
		ShortUsage: programName + " cost [flags]",
		ShortHelp:  "measure processor time and memory of the processes",
		FlagSet:    f,
		Exec: func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, costLimit)
			defer cancel()
			return cost.Run(ctx, o, w)
		},
	}
}
