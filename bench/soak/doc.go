// Package soak runs gateways as processes of their own, injects faults from outside them by a seed, and checks what
// callers and targets see against what both are promised.
package soak
