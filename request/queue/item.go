package queue

import (
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Item is a request in the queue.
type Item struct {
	Class  ident.Class
	Weight ident.Weight
	// Deadline is the instant at which the answer is due.
	Deadline clock.Instant
	// latestStart is the last instant at which starting the request can still produce an answer before the deadline.
	latestStart clock.Instant
	// virtualFinish is the virtual time at which an ideal fair scheduler would have completed the request.
	virtualFinish float64
	// seq is the arrival number, which breaks ties.
	seq uint64
	// index is the position in the heap, or notQueued.
	index int
}

// notQueued is the index of an item that isn't in a queue.
const notQueued = -1

// NewItem returns an item that isn't queued yet.
func NewItem(c ident.Class, w ident.Weight, deadline clock.Instant) *Item {
	return &Item{Class: c, Weight: max(w, 1), Deadline: deadline, index: notQueued}
}

// LatestStart returns the last instant at which starting the request can still produce an answer before the deadline;
// Admit sets it.
func (i *Item) LatestStart() clock.Instant {
	return i.latestStart
}

// itemHeap is a heap ordered by virtual finish time, then by arrival.
type itemHeap []*Item

func (o itemHeap) Len() int { return len(o) }

func (o itemHeap) Less(i, j int) bool {
	if o[i].virtualFinish != o[j].virtualFinish {
		return o[i].virtualFinish < o[j].virtualFinish
	}
	return o[i].seq < o[j].seq
}

func (o itemHeap) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].index, o[j].index = i, j
}

// Push implements heap.Interface.
func (o *itemHeap) Push(x any) {
	i := x.(*Item)
	i.index = len(*o)
	*o = append(*o, i)
}

// Pop implements heap.Interface.
func (o *itemHeap) Pop() any {
	l := *o
	i := l[len(l)-1]
	*o = l[:len(l)-1]
	i.index = notQueued
	return i
}
