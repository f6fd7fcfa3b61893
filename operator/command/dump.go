package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/amaranthramp/amaranthramp/operator/client"
)

const dumpHelp = `Prints the state of one process as JSON. --control takes the operator address of a control
process or of an entry process, which is set in the [Entry] table of the VM settings.`

func dumpCommand(s *streams) *ffcli.Command {
	f := flagSet("dump", s)
	o := &connectOptions{}
	o.register(f)
	return &ffcli.Command{
		Name:       "dump",
		ShortUsage: programName + " dump [--control ADDRESS] [--json]",
		ShortHelp:  "show the state of one process",
		LongHelp:   dumpHelp,
		FlagSet:    f,
		Options:    envOptions,
		Exec:       func(ctx context.Context, args []string) error { return dump(ctx, s, o, args) },
	}
}

func dump(ctx context.Context, s *streams, o *connectOptions, args []string) error {
	if len(args) > 0 {
		return flag.ErrHelp
	}
	b, err := callAny(ctx, o, func(ctx context.Context, c *client.Client) (json.RawMessage, error) { return c.Dump(ctx) })
	if err != nil {
		return fmt.Errorf("dump: %w", err)
	}
	// The dump is printed as JSON even without --json.
	return printJSON(s, b)
}
