// Package roster provides a snapshot of the registered targets and of the data centres that operators have evacuated.
package roster
