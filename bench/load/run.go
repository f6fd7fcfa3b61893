package load

import (
	"context"
	"sync"
	"time"
)

// Sent is an arrival with its answer.
type Sent struct {
	*Arrival
	Answer Answer
	// Latency is counted from the intended send time, so that delays of the sender are included.
	Latency time.Duration
}

// Run sends all requests at their intended times and waits for every answer. When the context ends, the remaining
// requests are not sent and are not part of the result.
func Run(ctx context.Context, l []Arrival, s Sender) *Result {
	r := &Result{Sent: make([]Sent, len(l))}
	start := time.Now()
	var g sync.WaitGroup
	for i := range l {
		a := &l[i]
		r.Sent[i].Arrival = a
		if !sleepUntil(ctx, start.Add(a.At)) {
			r.Sent = r.Sent[:i]
			break
		}
		g.Go(func() {
			r.Sent[i].Answer = s.Send(ctx, a)
			r.Sent[i].Latency = time.Since(start.Add(a.At))
		})
	}
	g.Wait()
	r.Took = time.Since(start)
	return r
}

// sleepUntil reports whether the time was reached before the context ended.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	w := time.NewTimer(d)
	defer w.Stop()
	select {
	case <-w.C:
		return true
	case <-ctx.Done():
		return false
	}
}
