package exchange

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
)

// Notice is what a target asks of this VM in a response to any request or probe.
type Notice struct {
	Source Source
	// Leaving means that the target is about to stop.
	Leaving bool
	// QuietFor is how long the target wants no requests from this VM; zero if it does not ask for that.
	QuietFor time.Duration
	// Limit is how many requests the target takes from all VMs together, if Limited is true.
	Limit   ident.Rate
	Limited bool
}

// Source is the kind of response that carried a notice.
type Source int

const (
	// fromProbe is a response to a probe.
	fromProbe Source = iota
	// fromRun is a response to a request that the target has run.
	fromRun
	// fromRefusal is a response to a request that the target has not run.
	fromRefusal
)

// EndsLimit reports whether the notice shows that the target no longer names a limit. That is so if a response to a
// request that it has run names none; other responses may never name it, except for probes if inProbes is true.
func (n *Notice) EndsLimit(inProbes bool) bool {
	return !n.Limited && (n.Source == fromRun || n.Source == fromProbe && inProbes)
}

// FromProbe reports whether the notice came in a response to a probe.
func (n *Notice) FromProbe() bool {
	return n.Source == fromProbe
}

// maxQuiet bounds the pause that a target may ask for, so that a wrong value does not take it out for good.
const maxQuiet = time.Hour

// maxLimit bounds the limit that a target may name. No target takes more, so that a larger value has the same meaning.
const maxLimit = 1e6

// leavingValue is the value of the header Leaving in the responses of a target that leaves.
const leavingValue = "1"

// Errors of a notice.
var (
	errPause = errors.New("exchange: Retry-After of a target is not a number of seconds")
	errLimit = errors.New("exchange: limit of a target is not a number of requests per second")
)

// parseNotice returns the notice in a response. The error concerns only the pause or the limit; the rest of the notice
// holds.
func parseNotice(h *Headers, p *http.Response) (Notice, error) {
	n := Notice{Leaving: p.Header.Get(h.Leaving) == leavingValue}
	var errs []error
	if v := p.Header.Get(h.Limit); v != "" {
		r, err := parseNumber(v)
		if err != nil {
			errs = append(errs, fmt.Errorf("%w: %q", errLimit, v))
		} else {
			n.Limit, n.Limited = ident.Rate(min(r, maxLimit)), true
		}
	}
	if v := p.Header.Get("Retry-After"); p.StatusCode == http.StatusServiceUnavailable && v != "" {
		s, err := parseNumber(v)
		if err != nil {
			errs = append(errs, errPause)
		} else {
			n.QuietFor = time.Duration(min(s, maxQuiet.Seconds()) * float64(time.Second))
		}
	}
	return n, errors.Join(errs...)
}

// parseNumber parses a decimal number that is not negative.
func parseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, err
	}
	if math.IsNaN(v) || v < 0 {
		return 0, strconv.ErrRange
	}
	return v, nil
}
