// Package load sends open-loop load to entry VMs or upstreams, and compares the answers that callers got with the
// verdict of the judge, a server that sums the reports of all simulated upstreams.
package load
