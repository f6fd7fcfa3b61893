// Package command implements the command line of the load and experiment tool.
package command
