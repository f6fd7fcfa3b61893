package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/standin/judge"
	"github.com/amaranthramp/amaranthramp/standin/server"
	"github.com/amaranthramp/amaranthramp/standin/store"
	"github.com/amaranthramp/amaranthramp/version/archive"
	"github.com/amaranthramp/amaranthramp/version/config"
)

const programName = "amaranthramp-standin"

// Main runs the stand-in selected by the arguments and returns the exit code.
func Main(args []string, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	c := &ffcli.Command{
		Name:        programName,
		ShortUsage:  programName + " platform|upstreams [flags]",
		FlagSet:     flag.NewFlagSet(programName, flag.ContinueOnError),
		Subcommands: []*ffcli.Command{platformCommand(), upstreamsCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := c.ParseAndRun(ctx, args)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, flag.ErrHelp):
		return 0
	default:
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", programName, err)
		return 1
	}
}

func platformCommand() *ffcli.Command {
	f := flag.NewFlagSet("platform", flag.ContinueOnError)
	address := f.String("address", "127.0.3.1:9500", "`ADDRESS` to listen on")
	file := f.String("configuration", "", "configuration `FILE` to store at the start")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: programName + " platform [-address ADDRESS] [-configuration FILE]",
		ShortHelp:  "serve the platform's object API",
		FlagSet:    f,
		Exec: func(ctx context.Context, _ []string) error {
			s := store.New()
			if *file != "" {
				b, err := os.ReadFile(*file)
				if err != nil {
					return fmt.Errorf("read configuration: %w", err)
				}
				if err := archive.Seed(ctx, store.NewLocal(s), *file, b); err != nil {
					return fmt.Errorf("store configuration: %w", err)
				}
			}
			return serve(ctx, *address, s.Handler())
		},
	}
}

// upstreamsOptions are the flags of the subcommand upstreams.
type upstreamsOptions struct {
	file   string
	judge  string
	mean   time.Duration
	fixed  bool
	warmUp int
}

func upstreamsCommand() *ffcli.Command {
	f := flag.NewFlagSet("upstreams", flag.ContinueOnError)
	var o upstreamsOptions
	f.StringVar(&o.file, "configuration", "configuration.toml", "configuration `FILE` whose upstreams are served")
	f.StringVar(&o.judge, "judge", "127.0.3.2:9600", "`ADDRESS` on which the judge listens")
	f.DurationVar(&o.mean, "mean", 5*time.Millisecond, "mean of the service `TIME`")
	f.BoolVar(&o.fixed, "fixed", false, "make all service times equal")
	f.IntVar(&o.warmUp, "warmup", 16, "`NUMBER` of runs after which a cold upstream is warm; 0 starts it warm")
	return &ffcli.Command{
		Name:       "upstreams",
		ShortUsage: programName + " upstreams [flags]",
		ShortHelp:  "serve all upstreams of a configuration, and their judge",
		FlagSet:    f,
		Exec: func(ctx context.Context, _ []string) error {
			return upstreams(ctx, &o)
		},
	}
}

// upstreams serves all upstreams and the judge until the context is cancelled or one of them fails.
func upstreams(ctx context.Context, o *upstreamsOptions) error {
	b, err := os.ReadFile(o.file)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	c, err := config.Parse(b)
	if err != nil {
		return err
	}
	var l []*server.Server
	results := make(chan error, 1)
	for _, s := range c.Service {
		for _, u := range s.Upstream {
			h := server.New(server.Options{
				Name: u.Name, DataCentre: u.DataCentre, Service: s, ProbeShare: c.Budget.ProbeShare,
				Mean: o.mean, Fixed: o.fixed, WarmUp: o.warmUp,
			}, clock.New())
			l = append(l, h)
			go func() { results <- h.Serve(ctx, u.Address) }()
		}
	}
	go func() { results <- serve(ctx, o.judge, judge.New(l).Handler()) }()
	for range len(l) + 1 {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}

// serve serves HTTP on the address until the context is cancelled.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
