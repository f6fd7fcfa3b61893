// Package capacity measures how state, messages, CPU time and memory grow with the size of a deployment. From the
// slopes docs/CAPACITY.md extrapolates the cost of the target size.
package capacity
