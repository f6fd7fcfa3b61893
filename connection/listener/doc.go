// Package listener accepts the connections of callers and of other VMs. It goes on after errors of Accept, and closes
// connections so that the answers on them arrive.
package listener
