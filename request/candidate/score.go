package candidate

import "github.com/amaranthramp/amaranthramp/connection/exchange"

// The figures of the estimate of how long a target would take, as a multiple of the work on an idle one.
const (
	// kneeShare is the share of busy slots above which targets slow down.
	kneeShare = 0.8
	// kneeFactor is by how much they do.
	kneeFactor = 1.7
	// unknownFactor is the weight of a request in flight at a target that does not report its load.
	unknownFactor = 0.5
)

// score estimates how long the target would take for one more request; extra are requests that the report can't show.
func score(r *exchange.Report, extra int) float64 {
	if !r.HasLoad {
		return r.Pace * (1 + unknownFactor*float64(extra))
	}
	running := r.Running + extra
	waiting := r.Waiting
	if running > r.Slots {
		waiting += running - r.Slots
		running = r.Slots
	}
	s := r.Pace
	if float64(running+1) > kneeShare*float64(r.Slots) {
		s *= kneeFactor
	}
	if running < r.Slots {
		return s
	}
	return s * (1 + float64(waiting+1)/float64(r.Slots))
}

// room reports whether the target can take one more request without a long wait in its queue. Some targets never answer
// what they can't queue, so the bound is well below any known queue.
func room(r *exchange.Report, extra int) bool {
	if !r.HasLoad {
		return true
	}
	return r.Running+r.Waiting+extra < 2*r.Slots
}
