package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/amaranthramp/amaranthramp/operator/story"
)

const explainHelp = `Puts the lines of one request from the logs of several VMs in order, beside what these VMs believed
at that time, and names the cause. REQUEST is the id that the caller sent; "-" reads a log from standard input.`

func explainCommand(s *streams) *ffcli.Command {
	f := flagSet("explain", s)
	asJSON := f.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: programName + " explain [--json] REQUEST LOG...",
		ShortHelp:  "tell from logs why a request ended as it did",
		LongHelp:   explainHelp,
		FlagSet:    f,
		Options:    environment,
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return flag.ErrHelp
			}
			t, err := readStory(s, args[0], args[1:])
			if err != nil {
				return fmt.Errorf("explain: %w", err)
			}
			if *asJSON {
				return printJSON(s, t)
			}
			return printStory(s.out, t)
		},
	}
}

// readStory opens all logs; those that can't be opened are reported together.
func readStory(s *streams, request string, files []string) (*story.Story, error) {
	var logs []io.Reader
	var findings []error
	for _, n := range files {
		if n == "-" {
			logs = append(logs, s.in)
			continue
		}
		f, err := os.Open(n)
		if err != nil {
			findings = append(findings, err)
			continue
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	if err := errors.Join(findings...); err != nil {
		return nil, err
	}
	return story.Read(request, logs...)
}

func printStory(w io.Writer, t *story.Story) error {
	if _, err := fmt.Fprintf(w, "request %s: %s\n", t.Request, t.Cause); err != nil {
		return err
	}
	for _, l := range t.Lines {
		if _, err := fmt.Fprintf(w, "  %s  %s  %s\n", l.At.Format("15:04:05.000"), l.VM, describe(&l)); err != nil {
			return err
		}
	}
	if len(t.Beliefs) == 0 {
		return nil
	}
	if _, err := fmt.Fprintln(w, "around that time:"); err != nil {
		return err
	}
	for _, l := range t.Beliefs {
		if _, err := fmt.Fprintf(w, "  %s  %s  %s %s%s\n", l.At.Format("15:04:05.000"), l.VM, l.Message, l.Target,
			l.Name); err != nil {
			return err
		}
	}
	return nil
}

// describe tells one line of a request.
func describe(l *story.Line) string {
	switch l.Message {
	case "attempt ended":
		return fmt.Sprintf("target %s in %s: %s, status %d, %.0f ms; asked %d, chosen at score %.2f with %d running, "+
			"%d waiting, pace %.1f", l.Target, l.DataCentre, l.End, l.Status, l.Took, l.Asked, l.Score, l.Running, l.Waiting,
			l.Pace)
	case "request answered":
		return fmt.Sprintf("answered: %s %s, status %d, %.0f ms, %d attempts, route %s under version %d", l.Outcome,
			l.Reason, l.Status, l.Took, l.Attempts, l.Route, l.Version)
	default:
		return fmt.Sprintf("%s %s%s", l.Message, l.Reason, l.Target)
	}
}
