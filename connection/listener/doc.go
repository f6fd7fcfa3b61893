// Package listener accepts the connections of callers and of other VMs, and counts how they end.
package listener
