package command

import (
	"context"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/amaranthramp/amaranthramp/bench/faults"
)

func faultsCommand(w io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("faults", flag.ContinueOnError)
	var o faults.Environment
	f.StringVar(&o.Binaries, "binaries", "build", "`DIRECTORY` of the built programs")
	f.StringVar(&o.Configuration, "configuration", "examples/cepage/configuration.toml", "configuration `FILE`")
	f.StringVar(&o.Work, "work", "build/faults", "`DIRECTORY` for settings and logs")
	f.IntVar(&o.Network, "network", 0, "second `NUMBER` of the loopback addresses")
	f.Uint64Var(&o.Seed, "seed", 1, "`SEED` of the arrivals")
	f.BoolVar(&o.PrintTraces, "traces", false, "print the requests in flight at the first violations")
	return &ffcli.Command{
		Name:       "faults",
		ShortUsage: programName + " faults [flags] [ROW...]",
		ShortHelp:  "fault injection tests on real processes, a line for each",
		FlagSet:    f,
		Exec: func(ctx context.Context, names []string) error {
			return faults.RunAll(ctx, o, names, w)
		},
	}
}
