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

	"github.com/peterbourgon/ff/v3/ffcli"
)

const programName = "amaranthramp"

// errAlreadyPrinted makes the program exit with code 1 without printing an error, since the command has already printed
// its findings or the reason.
var errAlreadyPrinted = errors.New("findings or reason already printed")

// streams holds the standard streams of the program.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// commands holds the constructors of all subcommands.
var commands = []func(*streams) *ffcli.Command{
	checkCommand,
	patchCommand,
	statusCommand,
	historyCommand,
	dumpCommand,
	explainCommand,
	rolloutCommand,
	whereCommand,
}

// Main runs the subcommand that the arguments name and returns the exit code.
func Main(args []string, in io.Reader, out, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	s := &streams{in: in, out: out, err: stderr}
	c := &ffcli.Command{
		Name:       programName,
		ShortUsage: programName + " SUBCOMMAND [flags] [ARGUMENT...]",
		ShortHelp:  "check and change the configuration, and show the state of the fleet",
		FlagSet:    flagSet(programName, s),
		Exec:       unknownSubcommand,
	}
	for _, f := range commands {
		c.Subcommands = append(c.Subcommands, f(s))
	}
	err := c.ParseAndRun(ctx, args)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return 0
	case errors.Is(err, errAlreadyPrinted):
		return 1
	default:
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", programName, err)
		return 1
	}
}

// flagSet returns an empty flag set that prints its usage text to the standard error stream.
func flagSet(name string, s *streams) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(s.err)
	return f
}

func unknownSubcommand(_ context.Context, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unknown subcommand %q; see %s --help", args[0], programName)
	}
	return fmt.Errorf("no subcommand; see %s --help", programName)
}
