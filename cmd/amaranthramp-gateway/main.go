// Command amaranthramp-gateway takes callers' requests on a VM of the users' platform and sends them to targets.
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
