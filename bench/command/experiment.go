package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/amaranthramp/amaranthramp/bench/experiment"
)

// entryVMs is the number of entry VMs of each deployment.
const entryVMs = 13

func benchCommand(w io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("bench", flag.ContinueOnError)
	var o experiment.Options
	experimentFlags(f, &o, "build/bench/work")
	f.IntVar(&o.Fleet.VMs, "vms", entryVMs, "`NUMBER` of entry VMs")
	f.StringVar(&o.Report, "report", "build/bench", "`DIRECTORY` for tables and charts")
	loads := f.String("loads", "0.3,0.6,0.85,0.95", "`SHARES` of the upstreams' slot time that requests use")
	only := f.String("only", "", "`NAMES` of the variants to run; empty runs all")
	deployments := f.String("deployments", "cepage,umusanzu", "`DIRECTORIES` below examples")
	return &ffcli.Command{
		Name:       "bench",
		ShortUsage: programName + " bench [flags]",
		ShortHelp:  "compare the system with baselines",
		FlagSet:    f,
		Exec: func(ctx context.Context, _ []string) error {
			if *only != "" {
				o.Only = strings.Split(*only, ",")
			}
			o.Deployments = strings.Split(*deployments, ",")
			for _, s := range strings.Split(*loads, ",") {
				v, err := strconv.ParseFloat(s, 64)
				if err != nil || v <= 0 {
					return fmt.Errorf("loads: %q is not a share above 0", s)
				}
				o.Loads = append(o.Loads, v)
			}
			return experiment.Run(ctx, &o, w)
		},
	}
}

func addedLatencyCommand(w io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("added", flag.ContinueOnError)
	o := experiment.Options{Loads: []float64{0.5}}
	experimentFlags(f, &o, "build/added")
	f.IntVar(&o.Fleet.VMs, "vms", 4, "`NUMBER` of entry VMs")
	f.Float64Var(&o.Loads[0], "load", o.Loads[0], "`SHARE` of the upstreams' slot time that requests use")
	f.StringVar(&o.Fleet.Configuration, "configuration", "examples/cepage/configuration.toml", "configuration `FILE`")
	return &ffcli.Command{
		Name:       "added",
		ShortUsage: programName + " added [flags]",
		ShortHelp:  "measure the latency that the system adds to a call",
		FlagSet:    f,
		Exec: func(ctx context.Context, _ []string) error {
			return experiment.Added(ctx, &o, w)
		},
	}
}

// experimentFlags defines the flags that both experiments have in common.
func experimentFlags(f *flag.FlagSet, o *experiment.Options, work string) {
	o.Fleet.Warm = true
	f.StringVar(&o.Fleet.Binaries, "binaries", "build", "`DIRECTORY` of the built programs")
	f.StringVar(&o.Fleet.Work, "work", work, "`DIRECTORY` for settings and logs")
	f.IntVar(&o.Fleet.Network, "network", 0, "second `NUMBER` of the loopback addresses")
	f.DurationVar(&o.Fleet.Mean, "mean", 20*time.Millisecond, "mean of the service `TIME`")
	f.DurationVar(&o.For, "for", 4*time.Second, "`TIME` during which requests are sent")
	f.DurationVar(&o.Skip, "skip", time.Second, "`TIME` at the start that is not counted")
	f.Uint64Var(&o.Seed, "seed", 1, "`SEED` of the arrivals")
}
