// Package server is a test double of one upstream: it runs requests in slots, starts cold, injects faults on demand,
// and counts the requests and probes that violate its limits.
package server
