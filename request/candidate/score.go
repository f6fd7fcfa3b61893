package candidate

import "github.com/amaranthramp/amaranthramp/connection/exchange"

// Parameters of the latency estimate, which is a multiple of the latency on an idle target.
const (
	// highLoadThreshold is the share of busy slots above which targets slow down.
	highLoadThreshold = 0.8
	// highLoadLatencyFactor is the factor by which latency grows above that threshold.
	highLoadLatencyFactor = 1.7
	// inFlightFactor is the weight of each request in flight to a target that does not report its load.
	inFlightFactor = 0.5
)

// score estimates the latency of one more request at the target that sent the report. The argument extra is the number
// of requests that the report cannot include yet.
func score(r *exchange.Report, extra int) float64 {
	if !r.HasLoad {
		return r.Slowdown * (1 + inFlightFactor*float64(extra))
	}
	running := r.Running + extra
	waiting := r.Waiting
	if running > r.Slots {
		waiting += running - r.Slots
		running = r.Slots
	}
	s := r.Slowdown
	if float64(running+1) > highLoadThreshold*float64(r.Slots) {
		s *= highLoadLatencyFactor
	}
	if running < r.Slots {
		return s
	}
	return s * (1 + float64(waiting+1)/float64(r.Slots))
}

// hasCapacity reports whether the target can take one more request without a long wait in its queue. Some targets never
// respond to requests for which their queue has no room, so the limit is well below the smallest queue capacity of any
// known target.
func hasCapacity(r *exchange.Report, extra int) bool {
	return hasRoom(r, extra, queueRoom)
}

// queueRoom is the number of requests per slot up to which a target has capacity.
const queueRoom = 2

// hasRoom reports whether the target has at most the given number of requests per slot with one more. An idle target
// always has room.
func hasRoom(r *exchange.Report, extra int, perSlot float64) bool {
	return !r.HasLoad || float64(r.Running+r.Waiting+extra+1) <= max(perSlot*float64(r.Slots), 1)
}

// hasFreeSlot reports whether the target could run one more request at once, or doesn't report its load.
func hasFreeSlot(r *exchange.Report) bool {
	return !r.HasLoad || r.Running+r.Waiting < r.Slots
}
