package exchange

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Notice is what a target asks of this VM in a response to any request or probe.
type Notice struct {
	// Leaving means that the target is about to stop.
	Leaving bool
	// QuietFor is how long the target wants no requests from this VM; zero if it does not ask for that.
	QuietFor time.Duration
}

// maxQuiet bounds the pause that a target may ask for, so that a wrong value does not take it out for good.
const maxQuiet = time.Hour

// leavingValue is the value of the header Leaving in the responses of a target that leaves.
const leavingValue = "1"

// errPause means that a target asked for a pause whose length can't be read.
var errPause = errors.New("exchange: Retry-After of a target is not a number of seconds")

// parseNotice returns the notice in a response. The error concerns only the pause; the rest of the notice holds.
func parseNotice(h *Headers, p *http.Response) (Notice, error) {
	n := Notice{Leaving: p.Header.Get(h.Leaving) == leavingValue}
	v := p.Header.Get("Retry-After")
	if p.StatusCode != http.StatusServiceUnavailable || v == "" {
		return n, nil
	}
	s, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(s) || s < 0 {
		return n, errPause
	}
	n.QuietFor = time.Duration(min(s, maxQuiet.Seconds()) * float64(time.Second))
	return n, nil
}
