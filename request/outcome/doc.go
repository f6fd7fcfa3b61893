// Package outcome defines the outcomes of requests, the reasons for them, and the events that can end an attempt.
//
// The reasons name members, which are the entry processes that receive callers' requests, and shards, which are groups
// of a service's targets. Each shard is owned by one member, which alone sends requests to its targets and only while
// it holds a lease.
package outcome
