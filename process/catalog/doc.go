// Package catalog holds a local copy of what operators, targets and members have written to the store: the routing
// table in force, the registered targets, the evacuated data centres, and the VMs of the system.
//
// The VMs of the system are called members. A few members, the readers, watch the store themselves with a Follower.
// They send the other members updates, which hold changed records, and digests, which hold only revisions and
// checksums: a member whose catalog matches a digest knows that it is current.
package catalog
