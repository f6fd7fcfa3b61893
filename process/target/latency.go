package target

import "time"

// The rules by which answers count as evidence.
const (
	// windowSize is how many answers in a row are weighed together.
	windowSize = 16
	// minSteadyWindows is how many windows must agree when nothing is known to compare them with.
	minSteadyWindows = 2
	// relearnWindows is how many windows must agree before a slower pace than the target's past counts as its own.
	relearnWindows = 4
	// latencyTolerance is how much slower than the reference a window may be and still count as at pace.
	latencyTolerance = 1.5
	// steadyFactor is how far two windows in a row may differ and still agree.
	steadyFactor = 1.6
	// stragglingFactor is how much slower than its own past a warm target is when it has lost its pace.
	stragglingFactor = 3.0
	// laggingFactor is how many times its pace a request in flight may take before the target is chosen last.
	laggingFactor = 6.0
	// recentWeight and slowShare are the weights of one answer in the recent and in the past pace.
	recentWeight   = 1.0 / 8
	baselineWeight = 1.0 / 256
	// staleAnswerWeight is the weight of an answer that comes after a time without any.
	staleAnswerWeight = 1.0 / 2
)

// latencyStats is the latency of a target's answers: the recent one, its past, and the window that is being filled.
type latencyStats struct {
	recent        time.Duration
	baseline      time.Duration
	windowSum     time.Duration
	windowCount   int
	lastWindow    time.Duration
	steadyWindows int
}

// add adds one answer; the past is learnt only while the target is warm.
func (p *latencyStats) add(d time.Duration, warm bool) {
	p.recent = movingAverage(p.recent, d, recentWeight)
	if warm {
		p.baseline = movingAverage(p.baseline, d, baselineWeight)
	}
}

// straggles reports whether the recent pace is far from the past one and from that of the shard's other targets.
func (p *latencyStats) straggles(others func() time.Duration) bool {
	if p.baseline == 0 || float64(p.recent) <= stragglingFactor*float64(p.baseline) {
		return false
	}
	o := others()
	return o == 0 || float64(p.recent) > latencyTolerance*float64(o)
}

// addToWindow adds one answer to the addToWindow and reports, once it is full, whether it is evidence of being warm.
func (p *latencyStats) addToWindow(d time.Duration, others func() time.Duration) bool {
	p.windowSum += d
	p.windowCount++
	if p.windowCount < windowSize {
		return false
	}
	m := p.windowSum / time.Duration(p.windowCount)
	p.windowSum, p.windowCount = 0, 0
	p.countSteady(m)
	o := others()
	if o > 0 && float64(m) > latencyTolerance*float64(o) {
		return false
	}
	if p.baseline > 0 {
		return float64(m) <= latencyTolerance*float64(p.baseline) || p.relearnBaseline(m)
	}
	return o > 0 || p.steadyWindows >= minSteadyWindows
}

// countSteady counts how many windows in a row were about the same.
func (p *latencyStats) countSteady(m time.Duration) {
	old, mean := float64(p.lastWindow), float64(m)
	if p.lastWindow > 0 && old <= steadyFactor*mean && mean <= steadyFactor*old {
		p.steadyWindows++
	} else {
		p.steadyWindows = 1
	}
	p.lastWindow = m
}

// relearnBaseline takes a slower pace for the target's own once it has been steady for long: its requests got heavier.
func (p *latencyStats) relearnBaseline(m time.Duration) bool {
	if p.steadyWindows < relearnWindows {
		return false
	}
	p.baseline = m
	return true
}

// reset forgets what the former process of the target did, but for its pace when warm.
func (p *latencyStats) reset() {
	p.recent, p.windowSum, p.windowCount, p.lastWindow, p.steadyWindows = 0, 0, 0, 0, 0
}

func movingAverage(old, d time.Duration, share float64) time.Duration {
	if old == 0 {
		return d
	}
	return old + time.Duration(share*float64(d-old))
}
