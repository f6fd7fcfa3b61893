// Package detour sends requests through other VMs while this VM has no path to the targets of a service.
//
// The other VM chooses the target and keeps all limits as for the requests of its own callers. It never sends such a
// request through a third VM.
package detour
