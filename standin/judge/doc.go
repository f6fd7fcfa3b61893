// Package judge sums the reports of all upstreams of a stand-in process, checks that no request ran twice, and injects
// faults into the upstreams. It serves both over HTTP.
package judge
