// Command amaranthramp-control is the control process of a VM: it maintains the membership, the leases and the
// configuration for the entry process.
package main

import (
	"context"
	"net/http"
	"os"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/control"
	"github.com/amaranthramp/amaranthramp/process/daemon"
	"github.com/amaranthramp/amaranthramp/process/platform"
	"github.com/amaranthramp/amaranthramp/process/settings"
)

func main() {
	os.Exit(daemon.Main("amaranthramp-control", os.Args[1:], os.Stderr, run))
}

func run(ctx context.Context, s *settings.Settings, incarnation string, l zerolog.Logger) error {
	k := clock.New()
	p := platform.New(s.Platform, http.DefaultClient, k)
	return control.New(s, incarnation, p, k, l).Run(ctx)
}
