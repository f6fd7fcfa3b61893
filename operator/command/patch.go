package command

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/operator/client"
	"github.com/amaranthramp/amaranthramp/process/control"
	"github.com/amaranthramp/amaranthramp/version/patch"
)

const patchHelp = `Submits a patch: a TOML file whose contents are added to the configuration or replace parts of it,
and whose [[Remove]] tables name what to remove. The file or the flags give the version that it was made against and
the id of the patch. A patch is accepted as a whole, or refused without any change. If the outcome is Unknown, or
there is no answer, submit it again with the same id: an accepted patch is not applied twice.
The exit code is 0 when the patch is accepted and, with --wait, in force at all VMs.`

// pollInterval is the time between two status requests of --wait.
const pollInterval = 200 * time.Millisecond

// patchOptions are the flags of the patch subcommand.
type patchOptions struct {
	connectOptions
	against  string
	id       string
	operator string
	wait     bool
	timeout  time.Duration
}

func patchCommand(s *streams) *ffcli.Command {
	f := flagSet("patch", s)
	o := &patchOptions{}
	o.register(f)
	f.StringVar(&o.against, "against", "", "`VERSION` that the patch was made against")
	f.StringVar(&o.id, "id", "", "`ID` of the patch; by default that of the file, or a random one")
	f.StringVar(&o.operator, "operator", os.Getenv("USER"), "`NAME` to show in the history")
	f.BoolVar(&o.wait, "wait", false, "wait until the version is in force at all VMs, then print their status")
	f.DurationVar(&o.timeout, "limit", 10*time.Second, "maximum `TIME` for which --wait waits")
	return &ffcli.Command{
		Name:       "patch",
		ShortUsage: programName + " patch [--against VERSION] [--id ID] [--operator NAME] [--wait] [--json] FILE",
		ShortHelp:  "change the configuration",
		LongHelp:   patchHelp,
		FlagSet:    f,
		Options:    envOptions,
		Exec:       func(ctx context.Context, args []string) error { return submit(ctx, s, o, args) },
	}
}

func submit(ctx context.Context, s *streams, o *patchOptions, args []string) error {
	q, err := o.submission(args)
	if err != nil {
		return err
	}
	a, err := callAny(ctx, &o.connectOptions, func(ctx context.Context, c *client.Client) (patch.Answer, error) {
		return c.Submit(ctx, q)
	})
	if err != nil && !errors.Is(err, client.ErrNoResponse) {
		return fmt.Errorf("patch: not submitted: %w", err)
	}
	if err != nil {
		return fmt.Errorf("patch: the outcome of %s is unknown; submit it again with the same id: %w", q.ID, err)
	}
	if err := printAnswer(s, o, a); err != nil {
		return err
	}
	if a.Outcome != patch.Accepted {
		return errAlreadyPrinted
	}
	if o.wait {
		return waitInForce(ctx, s, o, a.Version)
	}
	return nil
}

// submission builds the submission from the flags and the file. A patch without an id gets a random one.
func (o *patchOptions) submission(args []string) (patch.Submission, error) {
	q := patch.Submission{ID: ident.Patch(o.id), Operator: o.operator}
	if len(args) != 1 {
		return q, fmt.Errorf("patch: give exactly one FILE after the flags")
	}
	b, err := os.ReadFile(args[0])
	if err != nil {
		return q, fmt.Errorf("patch: %w", err)
	}
	q.File, q.Text = args[0], string(b)
	if o.against != "" {
		n, err := strconv.ParseUint(o.against, 10, 64)
		if err != nil {
			return q, fmt.Errorf("patch: --against %q is not a version number", o.against)
		}
		v := ident.Version(n)
		q.Against = &v
	}
	if f, _ := patch.Read(q.File, b); q.ID == "" && f.Patch.ID == "" {
		q.ID = ident.Patch(rand.Text())
	}
	return q, nil
}

// printAnswer prints findings in the format of the check subcommand.
func printAnswer(s *streams, o *patchOptions, a patch.Answer) error {
	if o.json {
		return printJSON(s, a)
	}
	for _, f := range a.Findings {
		_, _ = fmt.Fprintln(s.out, f)
	}
	if a.Outcome == patch.Accepted {
		_, _ = fmt.Fprintf(s.out, "%s %s as version %s\n", a.Outcome, a.Patch, a.Version)
		return nil
	}
	_, _ = fmt.Fprintf(s.err, "%s: patch: %s %s: %s\n", programName, a.Outcome, a.Patch, a.Reason)
	return nil
}

// waitInForce waits until the version is in force at all VMs or the time limit passes, and prints the last status.
func waitInForce(ctx context.Context, s *streams, o *patchOptions, v ident.Version) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	var last control.Status
	for ctx.Err() == nil {
		n, err := callAny(ctx, &o.connectOptions, func(ctx context.Context, c *client.Client) (control.Status, error) {
			return c.Status(ctx)
		})
		if err == nil {
			last = n
		}
		if err == nil && inForce(n, v) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
	if o.json {
		if err := printJSON(s, last); err != nil {
			return err
		}
	} else {
		printStatus(s, last)
	}
	if !inForce(last, v) {
		return errors.New("patch: accepted, but not in force at all VMs within the time limit")
	}
	return nil
}

// inForce reports whether all VMs are reachable and have this version or a later one in force.
func inForce(s control.Status, v ident.Version) bool {
	for _, m := range s.VM {
		if m.Failure != "" || m.InForce < v {
			return false
		}
	}
	return len(s.VM) > 0
}
