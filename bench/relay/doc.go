// Package relay forwards TCP connections to another address. It can stall, delay and break them, so that fault
// injection tests can partition processes from each other.
package relay
