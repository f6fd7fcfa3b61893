// Package gateway is the process of a VM that takes callers' requests and sends them to targets by routes, targets and
// evacuations that it reads from a store.
package gateway
