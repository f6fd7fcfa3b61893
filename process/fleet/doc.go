// Package fleet lets a few VMs, the readers, read the store on behalf of all. Each VM that has registered in the store
// is a member of the fleet. The readers push changes to the other members in datagrams. Each datagram carries a digest:
// the position of the last change and a checksum for each kind of object in the store. A member that learns from a
// digest that it missed a change fetches the change. A member that hears from no reader in time reads the store itself.
//
// In a small fleet a reader sends to every member, and members fetch from it. In a large one it sends one datagram to
// each data centre, where a member relays it to the others, and the members of a data centre fetch along a tree whose
// root asks the reader. So the work of a reader does not grow with the fleet.
//
// The store confirms a member's copy of its content when it answers a reader and the member has all changes up to that
// answer; the copy was then known to be current. Members are ranked by capacity and then by hash; those of the lowest
// ranks, counted from 0, are the preferred readers.
//
// The package also chooses which members may send requests to a target in its cold start, the time after the start of
// the target in which it can handle only a limited request rate.
package fleet
