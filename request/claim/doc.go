// Package claim makes sure that the request of an idempotency key runs at most once.
//
// An entry process receives requests from callers. The entry processes of an installation are its members, and every
// change of the members begins a new epoch, with a higher number.
//
// Keys are hashed into partitions. Each partition has three replicas, which are members that hold its records in
// memory, in three data centres where there are as many. They are computed from the members of an epoch. An entry
// process may dispatch the request of a key once a majority of the replicas has recorded the key as new. Two entry
// processes that use the same replicas can't both get a majority. When the request has ended, the entry process sends
// the replicas a settlement: the answer to record, or the release of the key if the request did not run.
//
// A new epoch can place a partition on other replicas. A replica answers only under its own epoch, and answers
// nothing about a key before it is ready: for each earlier replica set whose records may still count, it must first
// have asked a majority of that set for their records. A replica that was asked under a newer epoch records no more
// keys under an older one. So an earlier attempt was either recorded by a member of that majority before the member
// was asked, and the new replicas know of it, or the member refuses it and it gets no majority. If no majority of an
// earlier replica set can be asked, the keys of its partitions stay unknown until the retention time is over.
//
// Consecutive epochs under which a partition has the same replicas form a generation of the partition.
package claim
