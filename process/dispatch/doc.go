// Package dispatch is the owner's side of a request: it checks the ownership of the shard, queues requests, and sends
// them to targets within the limit that each target's state sets.
//
// A scheduler decides for one shard. It is pure logic under a lock, since a goroutine for each shard would add two
// context switches to every request.
package dispatch
