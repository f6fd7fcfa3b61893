// Package dispatch is the owner's side of a request: it checks the ownership of the shard, queues requests, and sends
// them to targets within the limit that each target's state sets.
//
// The entry process of a VM receives a caller's request and forwards it to the owner of the request's shard, which is
// one of the members. A target has slots, one for each request that it can run at the same time. Slot time is the sum
// of the times for which requests or probes hold a slot: two probes of 5 ms each use 10 ms of slot time.
//
// When the epoch (the agreed list of members) changes, a shard can get another owner. A member is open in an earlier
// epoch while its lease under that epoch may still be valid, so that it, or its deputy, may still send requests. The
// former owner reports its requests in flight and the states of the targets to the next owner in a handover.
//
// A view is what the member knows at one time: the epoch, its lease and the configuration. The holder of the views
// keeps the newest one.
//
// A scheduler decides for one shard. It is pure logic under a lock, since a goroutine for each shard would add two
// context switches to every request.
package dispatch
