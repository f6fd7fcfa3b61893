// Package probe limits the probes of a target to a share of its slot time. Slot time is the number of a target's
// request slots times the time for which they are occupied: a probe that takes 20 ms uses 20 ms of slot time, and a
// target with 8 slots has 8 s of slot time in each second. A new owner of the target's shard starts with an empty
// budget, so that the probes of successive owners together don't exceed the share.
package probe
