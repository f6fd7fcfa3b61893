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

const explainHelp = `Prints the lines of one request from the logs of several VMs in order of time, with the
state changes that these VMs logged around that time, and the cause of the result. REQUEST is the id that the caller
sent; "-" reads a log from standard input.`

func explainCommand(s *streams) *ffcli.Command {
	f := flagSet("explain", s)
	asJSON := f.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: programName + " explain [--json] REQUEST LOG...",
		ShortHelp:  "explain the result of a request from logs",
		LongHelp:   explainHelp,
		FlagSet:    f,
		Options:    envOptions,
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return flag.ErrHelp
			}
			e, err := explain(s, args[0], args[1:])
			if err != nil {
				return fmt.Errorf("explain: %w", err)
			}
			if *asJSON {
				return printJSON(s, e)
			}
			return printExplanation(s.out, e)
		},
	}
}

// explain explains a request from log files. It reports all files that can't be opened in one error.
func explain(s *streams, request string, files []string) (*story.Explanation, error) {
	var logs []io.Reader
	var failures []error
	for _, name := range files {
		if name == "-" {
			logs = append(logs, s.in)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	if err := errors.Join(failures...); err != nil {
		return nil, err
	}
	return story.Explain(request, logs...)
}

// printExplanation prints the cause, the lines of the request and the state changes around that time as text.
func printExplanation(w io.Writer, e *story.Explanation) error {
	if _, err := fmt.Fprintf(w, "request %s: %s\n", e.Request, e.Cause); err != nil {
		return err
	}
	for _, l := range e.Lines {
		if _, err := fmt.Fprintf(w, "  %s  %s  %s\n", l.At.Format("15:04:05.000"), l.VM, describe(&l)); err != nil {
			return err
		}
	}
	if len(e.StateChanges) == 0 {
		return nil
	}
	if _, err := fmt.Fprintln(w, "state changes around that time:"); err != nil {
		return err
	}
	for _, l := range e.StateChanges {
		if _, err := fmt.Fprintf(w, "  %s  %s  %s %s%s%s\n", l.At.Format("15:04:05.000"), l.VM, l.Message, l.Target, l.Name,
			serviceOf(&l)); err != nil {
			return err
		}
	}
	return nil
}

// describe formats one log line of a request.
func describe(l *story.Line) string {
	switch l.Message {
	case "attempt ended":
		return fmt.Sprintf("target %s in %s: %s, status %d, %.0f ms; probed %d, chosen with score %.2f with %d running, "+
			"%d waiting, requests taking %.1f times the normal duration", l.Target, l.DataCentre, l.End, l.Status, l.Took,
			l.Asked, l.Score, l.Running, l.Waiting, l.Pace)
	case "attempt through another VM ended":
		return fmt.Sprintf("through %s in %s, since no target responds to this VM: %s %s, status %d, %.0f ms", l.Member,
			l.DataCentre, l.End, l.Reason, l.Status, l.Took)
	case "request answered", "forwarded request answered":
		return fmt.Sprintf("answered: %s %s, status %d, %.0f ms, %d attempts, route %s, version %d", l.Outcome,
			l.Reason, l.Status, l.Took, l.Attempts, l.Route, l.Version)
	default:
		return fmt.Sprintf("%s %s%s", l.Message, l.Reason, l.Target)
	}
}

// serviceOf returns the service that a state change is about, unless it names a target or an object.
func serviceOf(l *story.Line) string {
	if l.Target != "" || l.Name != "" {
		return ""
	}
	return l.Service
}
