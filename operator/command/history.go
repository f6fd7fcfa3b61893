package command

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/amaranthramp/amaranthramp/operator/client"
	"github.com/amaranthramp/amaranthramp/process/control"
)

const historyHelp = `Prints the accepted patches that the platform still stores, newest first, each with its version,
time, operator, id and a summary of its changes.`

func historyCommand(s *streams) *ffcli.Command {
	f := flagSet("history", s)
	o := &connectOptions{}
	o.register(f)
	return &ffcli.Command{
		Name:       "history",
		ShortUsage: programName + " history [--control ADDRESS] [--json]",
		ShortHelp:  "show the accepted patches",
		LongHelp:   historyHelp,
		FlagSet:    f,
		Options:    envOptions,
		Exec:       func(ctx context.Context, args []string) error { return history(ctx, s, o, args) },
	}
}

func history(ctx context.Context, s *streams, o *connectOptions, args []string) error {
	if len(args) > 0 {
		return flag.ErrHelp
	}
	h, err := callAny(ctx, o, func(ctx context.Context, c *client.Client) (control.History, error) {
		return c.History(ctx)
	})
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	if o.json {
		return printJSON(s, h)
	}
	for _, e := range h.Entry {
		_, _ = fmt.Fprintf(s.out, "%6d  %s  %-12s %-24s %s\n", e.Version, e.At.UTC().Format(time.RFC3339), e.Operator,
			e.Patch, e.Summary)
	}
	return nil
}
