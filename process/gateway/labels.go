package gateway

import "sync"

// otherLabel is the label value of everything without one of its own.
const otherLabel = "other"

// labels assigns values to a label of metrics: the first names that a VM serves are shown, up to a number, so that
// names which change with each configuration don't add up. It is safe for concurrent use.
type labels struct {
	most int

	mu    sync.Mutex
	named map[string]struct{}
}

// newLabels returns an assignment of at most a number of values, without that for all others.
func newLabels(most int) *labels {
	return &labels{most: most, named: map[string]struct{}{}}
}

// of returns the label value of a name.
func (l *labels) of(n string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.named[n]; ok {
		return n
	}
	if len(l.named) >= l.most {
		return otherLabel
	}
	l.named[n] = struct{}{}
	return n
}
