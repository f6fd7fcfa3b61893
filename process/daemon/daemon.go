package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/process/settings"
)

// Run is the main function of a daemon: it serves with the VM's settings until the context ends.
type Run func(ctx context.Context, s *settings.Settings, incarnation string, l zerolog.Logger) error

// Main parses the flags, runs the daemon until SIGTERM or SIGINT, and returns the exit code.
func Main(name string, args []string, stderr io.Writer, run Run) int {
	return Start(name, args, stderr, "vm.toml", settings.Load, func(ctx context.Context, s *settings.Settings) error {
		l, err := newLogger(name, s, stderr)
		if err != nil {
			return err
		}
		return run(ctx, s, newIncarnation(), l)
	})
}

// Start parses the flags of a program with settings of any type, runs it until SIGTERM or SIGINT, and returns the exit
// code. The settings are read from file unless a flag or an environment variable names another one.
func Start[S any](name string, args []string, stderr io.Writer, file string, load func(file string) (S, error),
	run func(ctx context.Context, s S) error,
) int {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(stderr)
	path := f.String("settings", file, "settings `FILE` of this VM")
	if err := ff.Parse(f, args, ff.WithEnvVarPrefix("AMARANTHRAMP")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return reportError(stderr, name, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	defer catchReload()()
	// A write to a pipe whose reader has ended fails, instead of ending the program.
	signal.Ignore(syscall.SIGPIPE)
	s, err := load(*path)
	if err != nil {
		return reportError(stderr, name, err)
	}
	if err := run(ctx, s); err != nil {
		return reportError(stderr, name, err)
	}
	return 0
}

// catchReload keeps SIGHUP, which ends a program that does not handle it, from doing so, also before a program that
// handles it has begun to. It returns the function that ends this.
func catchReload() func() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return func() { signal.Stop(c) }
}

// reportError prints an error and returns the exit code of a failed program.
func reportError(w io.Writer, name string, err error) int {
	_, _ = fmt.Fprintf(w, "%s: %v\n", name, err)
	return 1
}

func newLogger(name string, s *settings.Settings, w io.Writer) (zerolog.Logger, error) {
	v, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return zerolog.Logger{}, fmt.Errorf("log level: %w", err)
	}
	return zerolog.New(w).Level(v).With().Timestamp().Str("Process", name).Str("VM", string(s.Name)).Logger(), nil
}

// newIncarnation returns a random id that distinguishes this start of the process from all others.
func newIncarnation() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
