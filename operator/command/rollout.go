package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/amaranthramp/amaranthramp/operator/progress"
	"github.com/amaranthramp/amaranthramp/process/gateway"
)

const rolloutHelp = `Prints the roll-outs in the dumps of gateways (GET /dump), with the evidence on both versions and
the reason why each roll-out stands where it stands. The dumps of all VMs give the whole picture; the evidence of the
fleet is in those of the deciders. "-" reads a dump from standard input.`

func rolloutCommand(s *streams) *ffcli.Command {
	f := flagSet("rollout", s)
	asJSON := f.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "rollout",
		ShortUsage: programName + " rollout [--json] DUMP...",
		ShortHelp:  "show the roll-outs in dumps of gateways",
		LongHelp:   rolloutHelp,
		FlagSet:    f,
		Options:    envOptions,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return flag.ErrHelp
			}
			d, err := readDumps(s, args)
			if err != nil {
				return fmt.Errorf("rollout: %w", err)
			}
			l := progress.Summarize(d)
			if *asJSON {
				return printJSON(s, l)
			}
			return printRollouts(s.out, l)
		},
	}
}

// readDumps reads dumps of gateways. It reports all files that can't be read in one error.
func readDumps(s *streams, files []string) ([]gateway.Dump, error) {
	var l []gateway.Dump
	var failures []error
	for _, name := range files {
		b, err := readInput(s, name)
		var d gateway.Dump
		if err == nil {
			err = json.Unmarshal(b, &d)
		}
		if err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", name, err))
			continue
		}
		l = append(l, d)
	}
	return l, errors.Join(failures...)
}

func readInput(s *streams, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(s.in)
	}
	return os.ReadFile(name)
}

// printRollouts prints roll-outs as text.
func printRollouts(w io.Writer, l []progress.Rollout) error {
	if len(l) == 0 {
		_, err := fmt.Fprintln(w, "no roll-out")
		return err
	}
	for i := range l {
		r := &l[i]
		_, err := fmt.Fprintf(w, "%s to %s: %s %s\n  %s\n  sent: %d to the old version, %d to the new one (%.1f %%)\n",
			r.Service, r.NewVersion, r.State, r.Phase, r.Cause, r.SentOld, r.SentNew, 100*r.ExposedShare())
		if err != nil {
			return err
		}
		if err := printEvidence(w, r); err != nil {
			return err
		}
		for _, v := range r.VMs {
			_, err := fmt.Fprintf(w, "  %-16s uses %s, %d old, %d new, %d bad, %d in flight to old, acknowledged %s%s\n",
				v.VM, v.Use, v.SentOld, v.SentNew, v.BadNew, v.InFlightOld, ago(v.AcknowledgedMsAgo), stoppedBy(v.Stopped))
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// printEvidence prints the evidence of the fleet, if a decider's dump is among those read.
func printEvidence(w io.Writer, r *progress.Rollout) error {
	d := r.Decider
	if d == nil {
		return nil
	}
	_, err := fmt.Fprintf(w, "  evidence at %s (rank %d), %d VMs report: old %d of %d failed, %d of %d slow; "+
		"new %d of %d failed, %d of %d slow\n", r.DeciderVM, d.Rank, d.Reporting, d.Old.Failures, d.Old.Responses, d.Old.Slow,
		d.Old.Timed, d.New.Failures, d.New.Responses, d.New.Slow, d.New.Timed)
	return err
}

func ago(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", ms)
}

func stoppedBy(reason string) string {
	if reason == "" {
		return ""
	}
	return ", stopped: " + reason
}
