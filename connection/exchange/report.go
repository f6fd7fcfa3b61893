package exchange

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// normalSlowdown is the reported slowdown figure of a target that runs at its normal speed.
const normalSlowdown = 100

// Report holds the health and load that a target reports in its response to a probe.
type Report struct {
	// At is when the probe was sent.
	At clock.Instant
	// Healthy is whether the target reports that it is able to serve.
	Healthy bool
	// HasLoad is whether the target reports its load at all.
	HasLoad bool
	// Running and Waiting are the numbers of requests that the target runs and queues; Slots is how many it can run at
	// once.
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long requests currently run at the target, as a multiple of their normal duration: 1 at normal
	// speed, and higher when the target is slower.
	Slowdown float64
	// WarmupLeft is the remaining time of the target's warm-up; zero when it is warm.
	WarmupLeft time.Duration
}

func parseReport(h *Headers, p *http.Response) Report {
	r := Report{Healthy: p.StatusCode == http.StatusOK, Slowdown: 1}
	r.WarmupLeft = parseWarmup(p.Header.Get(h.WarmupLeft))
	r.parseLoad(p.Header.Get(h.Load))
	return r
}

// maxWarmup bounds the remaining time of a warm-up.
const maxWarmup = 24 * time.Hour

// parseWarmup returns a number of milliseconds, whole or not, of at most maxWarmup; zero if it can't be read.
func parseWarmup(s string) time.Duration {
	n, err := strconv.ParseFloat(s, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(n) || n <= 0 {
		return 0
	}
	return time.Duration(min(n, float64(maxWarmup.Milliseconds())) * float64(time.Millisecond))
}

// parseLoad parses "running,waiting,slots" with the slowdown in hundredths (100 at normal speed) as an optional fourth
// figure. A header in any other format is ignored.
func (r *Report) parseLoad(s string) {
	f := strings.Split(s, ",")
	if len(f) < 3 {
		return
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(strings.TrimSpace(f[i]))
		if err != nil || v < 0 {
			return
		}
		n[i] = v
	}
	r.Running, r.Waiting, r.Slots, r.HasLoad = n[0], n[1], n[2], n[2] > 0
	if len(f) > 3 {
		if v, err := strconv.ParseFloat(strings.TrimSpace(f[3]), 64); err == nil && v > 0 {
			r.Slowdown = v / normalSlowdown
		}
	}
}
