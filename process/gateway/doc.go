// Package gateway implements the load balancer process of a VM: it forwards callers' requests to targets according to
// the routes, registered targets and data centre evacuations that it reads from a store.
package gateway
