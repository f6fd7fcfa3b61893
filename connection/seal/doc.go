// Package seal authenticates requests between control processes and from operators with the shared key of the fleet.
package seal
