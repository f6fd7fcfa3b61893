package command

import (
	"context"
	"errors"
	"flag"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/amaranthramp/amaranthramp/bench/load"
	"github.com/amaranthramp/amaranthramp/bench/schedule"
	"github.com/amaranthramp/amaranthramp/bench/trial"
)

// errViolated means that an invariant was violated.
var errViolated = errors.New("an invariant was violated")

func runCommand(w io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("run", flag.ContinueOnError)
	var o trial.Options
	fleetFlags(f, &o.Fleet, "build/run")
	f.DurationVar(&o.Fleet.Mean, "mean", 5*time.Millisecond, "mean of the service `TIME`")
	f.BoolVar(&o.Fleet.Warm, "warm", false, "start the upstreams warm")
	f.Float64Var(&o.Load, "load", 0.3, "`SHARE` of the upstreams' slot time that requests use")
	f.DurationVar(&o.For, "for", 10*time.Second, "`TIME` during which requests are sent")
	f.Uint64Var(&o.Seed, "seed", 1, "`SEED` of the arrivals")
	file := f.String("schedule", "", "`FILE` with the schedule of faults")
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: programName + " run [flags]",
		ShortHelp:  "run one load, with a schedule of faults",
		FlagSet:    f,
		Exec: func(ctx context.Context, _ []string) error {
			if *file != "" {
				l, err := schedule.Load(*file)
				if err != nil {
					return err
				}
				o.Events = l
			}
			t, err := trial.Run(ctx, &o)
			if err != nil {
				return err
			}
			t.Write(w)
			if load.Violations(t.Findings) > 0 {
				return errViolated
			}
			return nil
		},
	}
}
