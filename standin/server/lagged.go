package server

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// loadLag is the delay of the load that an upstream reports.
const loadLag = 100 * time.Millisecond

// laggedValue keeps a history of a value and returns the value of loadLag ago.
type laggedValue struct {
	// values[i] was set at times[i].
	times  []clock.Instant
	values []int
}

// set records a new value.
func (l *laggedValue) set(now clock.Instant, v int) {
	l.times, l.values = append(l.times, now), append(l.values, v)
}

// get returns the value of loadLag ago, or zero if there was none, and discards older values.
func (l *laggedValue) get(now clock.Instant) int {
	n := 0
	for n+1 < len(l.times) && now.Sub(l.times[n+1]) >= loadLag {
		n++
	}
	l.times, l.values = l.times[n:], l.values[n:]
	if len(l.times) == 0 || now.Sub(l.times[0]) < loadLag {
		return 0
	}
	return l.values[0]
}
