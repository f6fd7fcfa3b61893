// Command amaranthramp-standin runs test doubles of the platform and of the upstreams.
package main

import (
	"os"

	"github.com/amaranthramp/amaranthramp/standin/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stderr))
}
