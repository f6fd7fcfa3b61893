// Package target tracks what the owner of a shard knows about one target: its state, how many requests it may have in
// flight, and the request results that change both. It is pure logic: the current time is an argument, and callers
// serialise access.
//
// Load and health reports of a target never raise its limit. Only complete answers with a normal latency do.
//
// The owner of a shard is the member of the system that sends the shard's requests to its targets. When the owner
// changes, the next one inherits the requests that the former one still has in flight.
package target
