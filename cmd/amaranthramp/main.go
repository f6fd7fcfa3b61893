// Command amaranthramp is the operators' command line.
package main

import (
	"os"

	"github.com/amaranthramp/amaranthramp/operator/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
