package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// usualPace is the pace figure of a target whose machine is as fast as usual.
const usualPace = 100

// Report is what a target tells of itself.
type Report struct {
	// At is when the target was asked.
	At clock.Instant
	// Healthy means that the target considers itself able to serve.
	Healthy bool
	// HasLoad tells whether the target reports its load at all.
	HasLoad bool
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at the moment, as a multiple of the usual.
	Pace float64
	// WarmupLeft is how long the target stays cold; zero when it is warm.
	WarmupLeft time.Duration
}

func reportOf(h *Headers, p *http.Response) Report {
	r := Report{Healthy: p.StatusCode == http.StatusOK, Pace: 1}
	if n, err := strconv.ParseInt(p.Header.Get(h.WarmupLeft), 10, 64); err == nil && n > 0 {
		r.WarmupLeft = time.Duration(n) * time.Millisecond
	}
	r.parseLoad(p.Header.Get(h.Load))
	return r
}

// parseLoad reads "running,waiting,slots" with the pace in hundredths as an optional fourth figure. A header that isn't
// written so counts as none.
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
			r.Pace = v / usualPace
		}
	}
}
