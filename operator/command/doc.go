// Package command implements the operators' command line, with one file per subcommand.
package command
