package target

import "time"

// The rules for judging a target by the latency of its answers.
const (
	// windowSize is the number of consecutive answers that are averaged into one window.
	windowSize = 16
	// minSteadyWindows is how many consecutive windows must agree to count as evidence when there is no latency to
	// compare them with.
	minSteadyWindows = 2
	// relearnWindows is how many consecutive windows must agree before a latency above the target's baseline becomes
	// its new baseline.
	relearnWindows = 4
	// latencyTolerance is the multiple of the reference latency up to which a latency counts as normal.
	latencyTolerance = 1.5
	// maxSteadyRatio is the largest ratio between two consecutive windows that agree.
	maxSteadyRatio = 1.6
	// stragglingFactor is the multiple of its baseline above which the latency of a warm target counts as straggling.
	stragglingFactor = 3.0
	// laggingFactor is the multiple of the target's recent latency that a request in flight may take before the target
	// is chosen last.
	laggingFactor = 6.0
	// recentWeight and baselineWeight are the weights of one answer in the recent latency and in the baseline.
	recentWeight   = 1.0 / 8
	baselineWeight = 1.0 / 256
	// staleAnswerWeight is the weight in the recent latency of an answer that follows a period without answers.
	staleAnswerWeight = 1.0 / 2
)

// latencyStats holds statistics of a target's answers: the recent and the baseline latency, and the current window.
type latencyStats struct {
	recent        time.Duration
	baseline      time.Duration
	windowSum     time.Duration
	windowCount   int
	lastWindow    time.Duration
	steadyWindows int
}

// add includes one answer in the averages. The baseline is learnt only while the target is warm.
func (p *latencyStats) add(d time.Duration, warm bool) {
	p.recent = movingAverage(p.recent, d, recentWeight)
	if warm {
		p.baseline = movingAverage(p.baseline, d, baselineWeight)
	}
}

// straggles reports whether the recent latency is far above the baseline and above that of the shard's other targets.
func (p *latencyStats) straggles(others func() time.Duration) bool {
	if p.baseline == 0 || float64(p.recent) <= stragglingFactor*float64(p.baseline) {
		return false
	}
	o := others()
	return o == 0 || float64(p.recent) > latencyTolerance*float64(o)
}

// addToWindow adds one answer to the window and reports, once the window is full, whether it is evidence that the
// target is warm.
func (p *latencyStats) addToWindow(d time.Duration, others func() time.Duration) bool {
	p.windowSum += d
	p.windowCount++
	if p.windowCount < windowSize {
		return false
	}
	m := p.windowSum / time.Duration(p.windowCount)
	p.windowSum, p.windowCount = 0, 0
	p.countSteadyWindow(m)
	o := others()
	if o > 0 && float64(m) > latencyTolerance*float64(o) {
		return false
	}
	if p.baseline > 0 {
		return float64(m) <= latencyTolerance*float64(p.baseline) || p.relearnBaseline(m)
	}
	return o > 0 || p.steadyWindows >= minSteadyWindows
}

// countSteadyWindow counts how many consecutive windows had about the same mean, given the mean of the last one.
func (p *latencyStats) countSteadyWindow(m time.Duration) {
	old, mean := float64(p.lastWindow), float64(m)
	if p.lastWindow > 0 && old <= maxSteadyRatio*mean && mean <= maxSteadyRatio*old {
		p.steadyWindows++
	} else {
		p.steadyWindows = 1
	}
	p.lastWindow = m
}

// relearnBaseline makes a higher latency the baseline once it has been steady for long, since the target's requests
// have then become more expensive.
func (p *latencyStats) relearnBaseline(m time.Duration) bool {
	if p.steadyWindows < relearnWindows {
		return false
	}
	p.baseline = m
	return true
}

// reset discards the measurements of the target's previous process, except for the baseline, its latency when warm.
func (p *latencyStats) reset() {
	p.recent, p.windowSum, p.windowCount, p.lastWindow, p.steadyWindows = 0, 0, 0, 0, 0
}

func movingAverage(old, d time.Duration, share float64) time.Duration {
	if old == 0 {
		return d
	}
	return old + time.Duration(share*float64(d-old))
}
