package ident

import "strconv"

// Member identifies one run of the processes on a VM of the load balancer: when a process of the VM restarts, the VM
// becomes a new member. An ID is never reused.
type Member string

// VM is the name of a VM of the load balancer, which stays the same when its processes restart.
type VM string

// DataCentre is the name of a data centre.
type DataCentre string

// Region is the name of a region.
type Region string

// Service is the name of a service.
type Service string

// Class is the name of a request class within a service.
type Class string

// Upstream is the name of an upstream within its service.
type Upstream string

// Target identifies one incarnation of a target; a restarted target usually has a new ID.
type Target string

// Route is the name of a route of the configuration.
type Route string

// Revision is the revision number of a store; it increases with each change within an era.
type Revision uint64

// Era is the number of times that a store has come back from an older copy of its content. Revisions after the copy are
// given out again then, so a revision identifies a state of the store only together with its era.
type Era uint64

// Address is a network address of the form host:port.
type Address string

// Shard identifies a shard: the targets of one service in one data centre, or a part of them. One member, the owner
// of the shard, sends the requests to them.
type Shard string

// Request identifies a request of a caller across all of its attempts.
type Request string

// Key is a caller's idempotency key.
type Key string

// Patch is the ID of a patch, which is a change of the configuration that an operator has submitted.
type Patch string

// Epoch is the number of a list of members that the members have agreed on; each new list has a higher number.
type Epoch uint64

// Version is the version number of a configuration that has been accepted; it increases with each change.
type Version uint64

// Attempt is the number of an attempt of a request, starting at 1.
type Attempt int

// Slots is the number of requests that a target can run at the same time.
type Slots int

// Weight is the relative weight of a request class, or of a service that shares the requests of a route.
type Weight int

// SplitWeight determines the share of a service in the requests of a route that several services share.
type SplitWeight float64

// Team is the name of a team, whose callers share API keys and an allowance.
type Team string

// TargetVersion is the version of the software that a target runs.
type TargetVersion string

// Priority is the rank of a request; 0 is the highest.
type Priority int

// Share is a fraction between 0 and 1.
type Share float64

// Rate is a number of requests per second.
type Rate float64

// Bytes is a number of bytes.
type Bytes int64

// String formats a version for logs and headers.
func (v Version) String() string {
	return strconv.FormatUint(uint64(v), 10)
}

// String formats an epoch for logs and headers.
func (e Epoch) String() string {
	return strconv.FormatUint(uint64(e), 10)
}
