// Package handover passes what the former owner of a shard knows to the next owner: that it has stopped dispatching,
// the state of each target, and how many of its requests are still in flight.
//
// Without a handover the next owner waits until the former owner's lease has expired, and treats every target as cold.
package handover
