// Package rollout decides how the traffic of a service moves to a new version of its targets while an order runs, and
// whether the new version is good or bad. It does no I/O and starts no goroutines: time, messages and the state of the
// store come in as arguments, and messages and writes come out as values.
//
// State is the part of each VM: it decides for each request which targets may be used, holds the share of the new
// version below the exposure bound by counting, and reports the responses. Decider is the part of the five members that
// Deciders selects for each service: it sums the reports, tests the new version against the old one, answers each
// report and writes the status of the order. docs/design/rollout.md has the rules and the failure cases.
package rollout
