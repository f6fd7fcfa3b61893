package queue

import (
	"container/heap"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// The limits of a queue.
const (
	// maxItems limits the memory that one queue uses.
	maxItems = 4096
	// overloadDelay is how long a queue may stay non-empty before that counts as a lasting overload and not as a burst.
	overloadDelay = 100 * time.Millisecond
	// overloadWaitServiceTimes limits the wait during a lasting overload, as a multiple of the mean service time.
	overloadWaitServiceTimes = 4
	// answerServiceTimes is the time between the latest start and the deadline, as a multiple of the mean service time.
	// It is limited to half of the time that was left until the deadline when the request was offered.
	answerServiceTimes = 3
)

// Capacity is the number of request slots at the targets and the mean time that a request occupies a slot.
type Capacity struct {
	Slots       int
	ServiceTime time.Duration
}

// Queue holds the requests of one shard that wait for a slot. It isn't safe for concurrent use.
type Queue struct {
	items   itemHeap
	classes map[ident.Class]*class
	// virtualTime is the virtual finish time of the last request that started.
	virtualTime float64
	seq         uint64
	// lastEmpty is when the queue was last seen empty.
	lastEmpty clock.Instant
}

// class is the state of one request class.
type class struct {
	weight            ident.Weight
	waiting           int
	lastVirtualFinish float64
}

// New returns an empty queue.
func New(now clock.Instant) *Queue {
	return &Queue{classes: map[ident.Class]*class{}, lastEmpty: now}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.items)
}

// Waiting returns the number of waiting requests of a class.
func (q *Queue) Waiting(c ident.Class) int {
	if k, ok := q.classes[c]; ok {
		return k.waiting
	}
	return 0
}

// Admit adds a request and reports whether it was admitted. The duration is the estimated wait, after which a refused
// request may be offered again.
func (q *Queue) Admit(now clock.Instant, i *Item, c Capacity) (time.Duration, bool) {
	if len(q.items) == 0 {
		q.lastEmpty = now
	}
	w := q.estimateWait(i, c)
	i.latestStart = max(i.Deadline.Add(-answerServiceTimes*c.ServiceTime), now.Add(i.Deadline.Sub(now)/2))
	if len(q.items) >= maxItems || now.Add(w) >= i.latestStart || q.exceedsOverloadLimit(now, w, c) {
		return w, false
	}
	q.push(i)
	return w, true
}

// estimateWait estimates how long the request would wait. It computes one estimate from the share and backlog of the
// request's class and one from all waiting requests, and returns the smaller.
func (q *Queue) estimateWait(i *Item, c Capacity) time.Duration {
	if c.Slots <= 0 {
		return time.Duration(len(q.items)+1) * c.ServiceTime
	}
	total, ahead := i.Weight, 1
	for k, v := range q.classes {
		if k == i.Class {
			ahead += v.waiting
			continue
		}
		if v.waiting > 0 {
			total += v.weight
		}
	}
	each := float64(c.ServiceTime) / float64(c.Slots)
	own := each * float64(ahead) * float64(total) / float64(i.Weight)
	all := each * float64(len(q.items)+1)
	return time.Duration(min(own, all))
}

// exceedsOverloadLimit reports whether the wait is too long for a queue that hasn't been empty for overloadDelay. In a
// burst, requests may wait as long as their deadlines allow; in a lasting overload they may not.
func (q *Queue) exceedsOverloadLimit(now clock.Instant, w time.Duration, c Capacity) bool {
	return now.Sub(q.lastEmpty) > overloadDelay && w > overloadWaitServiceTimes*c.ServiceTime
}

func (q *Queue) push(i *Item) {
	k, ok := q.classes[i.Class]
	if !ok {
		k = &class{}
		q.classes[i.Class] = k
	}
	k.weight = i.Weight
	k.lastVirtualFinish = max(k.lastVirtualFinish, q.virtualTime) + 1/float64(i.Weight)
	k.waiting++
	q.seq++
	i.virtualFinish, i.seq = k.lastVirtualFinish, q.seq
	heap.Push(&q.items, i)
}

// Peek returns the next request to start, or nil.
func (q *Queue) Peek() *Item {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// Pop removes and returns the next request to start. The second result holds the requests before it in the queue that
// can no longer be answered in time; they are removed as well.
func (q *Queue) Pop(now clock.Instant) (*Item, []*Item) {
	var expired []*Item
	for len(q.items) > 0 {
		i := heap.Pop(&q.items).(*Item)
		q.afterRemove(now, i)
		if i.latestStart > now {
			q.virtualTime = i.virtualFinish
			return i, expired
		}
		expired = append(expired, i)
	}
	return nil, expired
}

// Remove removes a request that was cancelled or has expired; it reports false when the request is not in the queue.
func (q *Queue) Remove(now clock.Instant, i *Item) bool {
	if i.index == notQueued {
		return false
	}
	heap.Remove(&q.items, i.index)
	q.afterRemove(now, i)
	return true
}

// Drain removes and returns all requests.
func (q *Queue) Drain(now clock.Instant) []*Item {
	l := append([]*Item(nil), q.items...)
	for _, i := range l {
		q.Remove(now, i)
	}
	return l
}

// afterRemove updates the state of the class and, once the queue is empty, resets the virtual time.
func (q *Queue) afterRemove(now clock.Instant, i *Item) {
	k := q.classes[i.Class]
	k.waiting--
	if len(q.items) > 0 {
		return
	}
	q.lastEmpty = now
	q.virtualTime = 0
	clear(q.classes)
}
