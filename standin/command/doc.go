// Package command implements the command line of the stand-ins: test doubles of the platform and of the upstreams.
package command
