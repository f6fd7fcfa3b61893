package command

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/amaranthramp/amaranthramp/operator/client"
	"github.com/amaranthramp/amaranthramp/process/control"
)

const statusHelp = `Prints a line for each VM: its data centre, the configuration version that its control process
knows, the version in force at its entry process, its epoch, and the time until its lease expires.`

func statusCommand(s *streams) *ffcli.Command {
	f := flagSet("status", s)
	o := &connectOptions{}
	o.register(f)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: programName + " status [--control ADDRESS] [--json]",
		ShortHelp:  "show the configuration version in force at each VM",
		LongHelp:   statusHelp,
		FlagSet:    f,
		Options:    envOptions,
		Exec:       func(ctx context.Context, args []string) error { return status(ctx, s, o, args) },
	}
}

func status(ctx context.Context, s *streams, o *connectOptions, args []string) error {
	if len(args) > 0 {
		return flag.ErrHelp
	}
	v, err := callAny(ctx, o, func(ctx context.Context, c *client.Client) (control.Status, error) { return c.Status(ctx) })
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	if o.json {
		return printJSON(s, v)
	}
	printStatus(s, v)
	return nil
}

func printStatus(s *streams, v control.Status) {
	_, _ = fmt.Fprintf(s.out, "%-16s %-12s %6s %8s %6s  %s\n", "VM", "DataCentre", "Known", "InForce", "Epoch", "Lease")
	for _, m := range v.VM {
		lease := m.LeaseFor
		switch {
		case m.Failure != "":
			lease = m.Failure
		case strings.HasPrefix(lease, "-"):
			lease = "none"
		}
		_, _ = fmt.Fprintf(s.out, "%-16s %-12s %6d %8d %6d  %s\n", m.Name, m.DataCentre, m.Known, m.InForce, m.Epoch, lease)
	}
}
