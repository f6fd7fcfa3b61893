// Command amaranthramp-entry is the entry process of a VM: it receives requests from callers and dispatches
// them to upstreams.
package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/daemon"
	"github.com/amaranthramp/amaranthramp/process/entry"
	"github.com/amaranthramp/amaranthramp/process/settings"
)

func main() {
	os.Exit(daemon.Main("amaranthramp-entry", os.Args[1:], os.Stderr, run))
}

func run(ctx context.Context, s *settings.Settings, incarnation string, l zerolog.Logger) error {
	return entry.New(s, incarnation, clock.New(), l).Run(ctx)
}
