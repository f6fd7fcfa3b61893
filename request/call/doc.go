// Package call defines a caller's request and its response, and the headers that carry both between processes.
//
// Gateways and entry processes receive requests from callers. Only entry processes use shards and epochs: the entry
// processes of an installation are its members. The targets of a service are divided into shards, and each shard is
// owned by one member, which alone sends requests to the shard's targets. Every change of the members begins a new
// membership epoch, with a higher number.
package call
