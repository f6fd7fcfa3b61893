// Package catalog holds a local copy of what operators, targets and members have written to the store: the routing
// table in force, the registered targets, the evacuated data centres, and the VMs of the system.
//
// The VMs of the system are called members. A few members, the readers, watch the store themselves with a Follower.
// They send the other members updates, which hold changed records, and digests, which hold only positions and
// checksums: a member whose catalog matches a digest knows that it is current.
//
// A position is a revision in an era of the store. A new era begins when the store comes back from an older copy of its
// content, after which revisions are given out again; docs/design/store-era.md says what is served in the meantime.
package catalog
