// Package peer forwards calls from the entry that received them to the owner of their shard, and carries messages
// between members.
package peer
