// Package shard divides the targets of a service into shards and computes which member owns each shard.
//
// The members are the VMs that an epoch, a numbered list that they have agreed on, names. The owner of a shard alone
// sends requests to its targets. While the owner is silent, another member, its deputy, does so in its place.
package shard
