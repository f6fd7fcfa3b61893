// Package spread replicates the newest accepted configuration from the platform and from peers.
//
// A member is one incarnation of a VM in the fleet; a VM that restarts joins as a new member. Two members of a data
// centre, chosen by rendezvous hashing, watch the platform's head object. The others poll it at increasing intervals,
// so that the platform's calls hardly grow with the fleet, and pull from any peer whose heartbeat shows a newer
// version. A new VM also pulls from its seeds, the control processes that its settings name, so that it starts while
// the platform is down. No VM ever returns to an older version.
package spread
