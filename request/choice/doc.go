// Package choice ranks the shards of a service for one request by the load that their owners last reported.
//
// A shard is a group of a service's targets. Its owner is the one member, that is, entry process, that sends requests
// to these targets.
package choice
