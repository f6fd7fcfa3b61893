package server

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// loadLag is the delay of the load that an upstream reports.
const loadLag = 100 * time.Millisecond

// laggedValue keeps a history of a value and returns the value of loadLag ago.
type laggedValue struct {
	at    []clock.Instant
	value []int
}

// set records a new value.
func (l *laggedValue) set(now clock.Instant, v int) {
	l.at, l.value = append(l.at, now), append(l.value, v)
}

// get returns the value of loadLag ago, or zero if there was none, and discards older values.
func (l *laggedValue) get(now clock.Instant) int {
	n := 0
	for n+1 < len(l.at) && now.Sub(l.at[n+1]) >= loadLag {
		n++
	}
	l.at, l.value = l.at[n:], l.value[n:]
	if len(l.at) == 0 || now.Sub(l.at[0]) < loadLag {
		return 0
	}
	return l.value[0]
}
