// Package capacity measures how state, messages, CPU time and memory grow with the number of targets of a deployment.
// Each upstream of a service counts as one target. A delta is the message that carries a change of the configuration.
// From the slopes docs/CAPACITY.md extrapolates the cost of the deployment size that the system is designed for.
package capacity
