// Package soak runs gateways as separate processes, injects faults into them and their surroundings at random from a
// seed, and checks that callers and targets see only what the gateway guarantees them.
package soak
