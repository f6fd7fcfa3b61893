// Package shard divides the targets of a service into shards and computes which member owns each shard.
package shard
