package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/amaranthramp/amaranthramp/bench/soak"
)

func soakCommand(w io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("soak", flag.ContinueOnError)
	var o soak.Options
	seeds := f.Int("seeds", 1, "`NUMBER` of seeds to run, one after the other")
	f.StringVar(&o.Binaries, "binaries", "build", "`DIRECTORY` of the built programs")
	f.StringVar(&o.Work, "work", "build/soak", "`DIRECTORY` for settings and logs")
	f.IntVar(&o.Network, "network", 0, "third `NUMBER` of the loopback addresses")
	f.IntVar(&o.VMs, "vms", 5, "`NUMBER` of VMs")
	f.IntVar(&o.Callers, "callers", 12, "`NUMBER` of callers")
	f.Uint64Var(&o.Seed, "seed", 1, "first `SEED` of faults and requests")
	f.DurationVar(&o.For, "for", 20*time.Second, "`TIME` in which faults are injected")
	f.BoolVar(&o.Rollouts, "rollouts", false, "order roll-outs of good and bad versions")
	f.BoolVar(&o.Planned, "planned", false, "inject only signals, changes of the configuration and targets that drain")
	f.StringVar(&o.Fault, "fault", "", "inject only faults of this `KIND`")
	f.Float64Var(&o.Cores, "cores", 1, "`NUMBER` of processors of each VM in its settings")
	f.BoolVar(&o.Verbose, "verbose", false, "print each fault")
	return &ffcli.Command{
		Name:       "soak",
		ShortUsage: programName + " soak [flags]",
		ShortHelp:  "run gateways as processes and inject random faults",
		FlagSet:    f,
		Exec: func(ctx context.Context, _ []string) error {
			return runSoaks(ctx, &o, *seeds, w)
		},
	}
}

// runSoaks runs soak tests with consecutive seeds and fails if any of them found a violation.
func runSoaks(ctx context.Context, o *soak.Options, seeds int, w io.Writer) error {
	failed := 0
	for range seeds {
		r, err := soak.Run(ctx, o, w)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "seed %d: %d requests, %d answered, %d violations\n", o.Seed, r.Requests, r.Answered,
			len(r.Violations)); err != nil {
			return err
		}
		for _, v := range r.Violations {
			if _, err := fmt.Fprintf(w, "    %s\n", v); err != nil {
				return err
			}
		}
		if len(r.Violations) > 0 {
			failed++
		}
		o.Seed++
	}
	if failed > 0 {
		return fmt.Errorf("%w: %d of %d seeds", soak.ErrViolated, failed, seeds)
	}
	return nil
}
