// Package server is a test double of one upstream: it runs requests in slots, starts cold, injects faults on demand,
// and counts the requests and probes that violate its limits.
//
// The owner of an upstream is the VM that dispatches requests to it at the time; it learns the state of the upstream
// from the headers of responses. An incarnation is the time from one start of the upstream, or one injected cold start,
// to the next.
package server
