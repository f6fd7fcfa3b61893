package policy

import (
	"container/heap"
	"time"

	"github.com/amaranthramp/amaranthramp/bench/load"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/standin/server"
)

// Ideal computes the result of one central queue for each service, with the same arrivals and service times, but
// without network latency and stragglers.
func Ideal(l []load.Arrival, mean time.Duration) *load.Result {
	r := &load.Result{Sent: make([]load.Sent, len(l))}
	free := map[ident.Service]*timeHeap{}
	for i := range l {
		a := &l[i]
		f := free[a.Service.Name]
		if f == nil {
			n := make(timeHeap, len(a.Service.Upstream)*int(a.Service.Slots))
			f = &n
			free[a.Service.Name] = f
		}
		end := max((*f)[0], a.At) + server.ServiceTime(a.ID, mean)
		(*f)[0] = end
		heap.Fix(f, 0)
		w := load.Answer{ID: a.ID, Outcome: outcome.Done, Body: server.ResponseBody(a.ID)}
		r.Sent[i] = load.Sent{Arrival: a, Answer: w, Latency: end - a.At}
	}
	return r
}

// timeHeap is a min-heap of the times at which slots become free.
type timeHeap []time.Duration

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h timeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timeHeap) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *timeHeap) Pop() any {
	l := *h
	x := l[len(l)-1]
	*h = l[:len(l)-1]
	return x
}
