// Package membership tracks the agreed epoch, renews this member's lease and grants leases as a witness of other
// members.
//
// The list of members is agreed on through one object on the platform that changes only by conditional update. Leases
// are exchanged between members only, over UDP, so that they are renewed while the platform is down.
// docs/design/membership.md has the rule by which leases of different epochs exclude each other.
package membership
