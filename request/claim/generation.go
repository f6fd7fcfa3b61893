package claim

import (
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/wire"
)

// generation is a sequence of consecutive epochs in which a partition had the same replicas.
type generation struct {
	first, last ident.Epoch
	replicas    []*wire.Member
}

// placements holds the placements of the current epoch and of the past epochs that still count.
type placements map[ident.Epoch]*placement

func (l placements) get(n ident.Epoch, members []*wire.Member) *placement {
	if y, ok := l[n]; ok {
		return y
	}
	y := newPlacement(members)
	l[n] = y
	return y
}

// prune removes the placements of epochs that are neither current nor past.
func (l placements) prune(e *wire.Epoch) {
	keep := map[ident.Epoch]bool{ident.Epoch(e.GetNumber()): true}
	for _, p := range e.GetPast() {
		keep[ident.Epoch(p.GetNumber())] = true
	}
	for n := range l {
		if !keep[n] {
			delete(l, n)
		}
	}
}

// generations returns the generations of a partition, the current one first, as far back as the epoch lists past
// epochs. Epochs that ended before the cutoff, in Unix milliseconds, hold no record that still counts. The second
// result is true if the returned generations include all whose records may still count, and false if older ones may
// be missing.
func (l placements) generations(e *wire.Epoch, p partition, cutoff int64) ([]generation, bool) {
	n := ident.Epoch(e.GetNumber())
	r := []generation{{first: n, last: n, replicas: l.get(n, e.GetMembers()).replicas[p]}}
	past := e.GetPast()
	for i := len(past) - 1; i >= 0; i-- {
		o := past[i]
		if o.GetEndedUnixMs() < cutoff {
			return r, true
		}
		last := &r[len(r)-1]
		if ident.Epoch(o.GetNumber()) != last.first-1 {
			return r, false
		}
		k := l.get(ident.Epoch(o.GetNumber()), o.GetMembers()).replicas[p]
		if sameMembers(k, last.replicas) {
			last.first--
			continue
		}
		n := ident.Epoch(o.GetNumber())
		r = append(r, generation{first: n, last: n, replicas: k})
	}
	return r, e.GetPastCut() < cutoff
}
