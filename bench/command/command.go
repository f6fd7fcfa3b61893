package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/amaranthramp/amaranthramp/bench/demo"
	"github.com/amaranthramp/amaranthramp/bench/fleet"
)

const programName = "amaranthramp-load"

// Main runs the subcommand in the arguments and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	c := &ffcli.Command{
		Name:       programName,
		ShortUsage: programName + " COMMAND [flags]",
		FlagSet:    flag.NewFlagSet(programName, flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			demoCommand(stdout), runCommand(stdout), faultsCommand(stdout), benchCommand(stdout),
			addedLatencyCommand(stdout), capacityCommand(stdout), costCommand(stdout), soakCommand(stdout),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := c.ParseAndRun(ctx, args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return 0
	}
	_, _ = fmt.Fprintf(stderr, "%s: %v\n", programName, err)
	return 1
}

// demoLimit is the time limit of the whole demonstration.
const demoLimit = time.Minute

func demoCommand(w io.Writer) *ffcli.Command {
	f := flag.NewFlagSet("demo", flag.ContinueOnError)
	var o fleet.Options
	fleetFlags(f, &o, "build/demo")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: programName + " demo [flags]",
		ShortHelp:  "run a small deployment and count violations",
		FlagSet:    f,
		Exec: func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, demoLimit)
			defer cancel()
			return demo.Run(ctx, o, w)
		},
	}
}

// fleetFlags defines the flags of commands that start a deployment.
func fleetFlags(f *flag.FlagSet, o *fleet.Options, work string) {
	f.StringVar(&o.Binaries, "binaries", "build", "`DIRECTORY` of the built programs")
	f.StringVar(&o.Configuration, "configuration", "examples/cepage/configuration.toml", "configuration `FILE`")
	f.StringVar(&o.Work, "work", work, "`DIRECTORY` for settings and logs")
	f.IntVar(&o.Network, "network", 0, "second `NUMBER` of the loopback addresses")
	f.IntVar(&o.VMs, "vms", 4, "`NUMBER` of entry VMs")
}
