// Package membership tracks the agreed epoch, renews this member's lease and grants leases as a witness of other
// members.
//
// The list of members is agreed on through one object on the platform that changes only by conditional update. Leases
// are exchanged between members only, over UDP, so that they are renewed while the platform is down.
// docs/design/membership.md has the rule by which leases of different epochs exclude each other.
//
// A member is the pair of a control process and an entry process on one VM; when either restarts, the pair is a new
// member. An epoch is one version of the list of members. A tenure is the ownership of shards by one member during one
// epoch. It is open until it is certain that no valid lease of that member under that epoch exists or can be granted
// any more, and closed from then on. The epoch object lists the open tenures of earlier epochs. The witnesses of a
// member are the members that grant its lease; it is valid with the grants of a quorum of them. A deputy is a witness
// that takes over the lease of a silent member while the platform is down and the member can't be removed from the
// epoch. In the messages, the subject is the member whose lease or silence a message is about.
package membership
