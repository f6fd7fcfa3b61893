// Package forward sends a call from the entry process that received it to the owner of a shard of the service: it ranks
// the shards, tries the owner of the first and, if the retry rules allow, that of one more.
//
// Entry processes are the members of an installation. A shard is a group of a service's targets. Its owner is the one
// member that sends requests to these targets.
package forward
