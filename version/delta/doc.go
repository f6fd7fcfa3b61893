// Package delta computes and applies the difference between two accepted configurations. At the size that the system is
// designed for, a change concerns one service of 1,400, so that members exchange and parse only what changed.
package delta
