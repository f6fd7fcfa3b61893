// Package peer forwards callers' requests and sends messages between the members of a fleet.
//
// A member is one incarnation of an entry VM, whose entry process accepts requests from callers. A shard is the targets
// of one service in one data centre, or a part of them. The owner of a shard is the member that sends requests to the
// targets of the shard; a member that accepts a request for another shard forwards it to the owner of that shard.
package peer
