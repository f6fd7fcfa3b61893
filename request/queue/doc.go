// Package queue is the queue of requests that wait for a slot at the targets of one shard. The member that owns the
// shard keeps it. The order is weighted fair queueing between request classes and first in, first out within a
// class. The waiting time is bounded: a request that by the estimate can't start in time is refused at once.
//
// A class's queueing delay grows with its own backlog and shrinks with its share of the weights. Under saturation the
// classes with small weights are therefore refused first, and no class starves.
package queue
