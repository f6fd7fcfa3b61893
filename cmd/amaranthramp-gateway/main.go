// Command amaranthramp-gateway runs on a VM of the users' platform, receives requests from callers and sends them
// to targets.
package main

import (
	"os"

	"github.com/amaranthramp/amaranthramp/platform"
	"github.com/amaranthramp/amaranthramp/process/daemon"
)

func main() {
	os.Exit(daemon.Start("amaranthramp-gateway", os.Args[1:], os.Stderr, platform.SettingsFile,
		platform.ReadSettings, platform.Serve))
}
