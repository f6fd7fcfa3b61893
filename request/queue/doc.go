// Package queue is the queue that a shard's owner keeps for the shard: weighted fair queueing between request classes,
// first in first out within a class, and a bound on the waiting time. A request that by the estimate can't start in
// time is refused at once.
//
// A class's queueing delay grows with its own backlog and shrinks with its share of the weights. Under saturation the
// classes with small weights are therefore refused first, and no class starves.
package queue
