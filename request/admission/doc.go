// Package admission decides which requests to an overloaded service wait, in which order they get a turn to find a
// target, which are rejected at once, and when the callers of rejected requests may return.
//
// It holds the state of one service as one VM sees it. The callers of its functions pass the time, and random numbers
// where it needs any; it does no I/O and starts no goroutine. While a service is not saturated it admits every request.
//
// An attempt is one try to find a target with a free slot. A request that waits makes one attempt in each of its turns.
package admission
