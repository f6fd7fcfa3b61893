// Package probe limits the probes of a target to a share of its slot-time. A new owner starts with an empty budget, so
// that the probes of successive owners together don't exceed the share.
package probe
