// Package trial runs one load on a deployment of its own, with a schedule of faults, and checks the invariants.
package trial
