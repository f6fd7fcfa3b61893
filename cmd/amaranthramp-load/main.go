// Command amaranthramp-load runs load tests and experiments against a small local deployment.
package main

import (
	"os"

	"github.com/amaranthramp/amaranthramp/bench/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
