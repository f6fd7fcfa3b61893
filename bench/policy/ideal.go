package policy

import (
	"container/heap"
	"time"

	"github.com/amaranthramp/amaranthramp/bench/load"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/standin/server"
)

// Ideal computes what one queue for each service would give over the same arrivals and service times, with all slots
// at no distance and no stragglers.
func Ideal(l []load.Arrival, mean time.Duration) *load.Result {
	r := &load.Result{Sent: make([]load.Sent, len(l))}
	free := map[ident.Service]*instants{}
	for i := range l {
		a := &l[i]
		f := free[a.Service.Name]
		if f == nil {
			n := make(instants, len(a.Service.Upstream)*int(a.Service.Slots))
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

// instants is a heap of the times at which slots become free.
type instants []time.Duration

func (h instants) Len() int           { return len(h) }
func (h instants) Less(i, j int) bool { return h[i] < h[j] }
func (h instants) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *instants) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *instants) Pop() any {
	l := *h
	x := l[len(l)-1]
	*h = l[:len(l)-1]
	return x
}
