// Package load sends open-loop load to entry VMs or upstreams, and compares the answers that callers got with what the
// judges of the upstreams recorded.
package load
