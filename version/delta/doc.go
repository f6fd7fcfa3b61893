// Package delta computes and applies the difference between two accepted configurations. At the size that the system is
// designed for, a change usually concerns one of 1,400 services; with deltas, the VMs of the fleet exchange and parse
// only what changed.
package delta
