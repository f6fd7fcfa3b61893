package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/target"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

const (
	// probeIdleTime is how long after its last answer an idle target may be probed.
	probeIdleTime = time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
)

// probeCall is one probe that is due, with the slot reserved for it.
type probeCall struct {
	lockedScheduler *lockedScheduler
	reservation     *reservation
	call            *call.Call
}

// startProbes starts the probes that are due: only at idle targets, suspect ones included, and within the probe budget
// of each.
func (d *Dispatcher) startProbes(ctx context.Context) {
	v := d.views.Get()
	t := d.tables.For(v)
	for _, o := range d.allSchedulers() {
		_, c, ok := t.Shard(o.scheduler.id)
		if !ok || c.ProbeCost <= 0 || !d.mayDispatch(v, o.scheduler.id) {
			continue
		}
		for _, p := range d.dueProbes(o, c.Host, c.ProbePath) {
			go d.runProbe(ctx, p)
		}
	}
}

func (d *Dispatcher) dueProbes(o *lockedScheduler, host, path string) []probeCall {
	now := d.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.scheduler
	if o.closed || s.view == nil || now < s.blockedUntil {
		return nil
	}
	var l []probeCall
	for _, p := range s.targets {
		if !needsProbe(now, p) || !p.probeBudget.TryTake(now, s.probeRate) {
			continue
		}
		d.probeSlotTime.Add(int64(s.probeRate.Cost))
		q := &call.Call{
			ID: ident.Request("probe-" + strconv.FormatInt(int64(now), 36)), Shard: s.id,
			Idempotent: true, Attempt: 1, Deadline: now.Add(probeTimeout), Method: http.MethodGet, Path: path,
			Host: host, Header: http.Header{},
		}
		l = append(l, probeCall{lockedScheduler: o, reservation: p.reserve(now, q.Deadline), call: q})
	}
	return l
}

// needsProbe reports whether requests currently say nothing about the target. A probe counts as a request in flight, so
// that a cold target doesn't get it in addition to a request.
func needsProbe(now clock.Instant, p *targetEntry) bool {
	switch p.target.State() {
	case target.Leaving, target.Gone:
		return false
	default:
		return p.target.Idle(now, probeIdleTime)
	}
}

// runProbe sends one probe. Its result changes the state of the target only if the probe fails or the target announces
// that it is leaving.
func (d *Dispatcher) runProbe(ctx context.Context, p probeCall) {
	b := p.reservation.entry
	x := b.exchanger.Do(ctx, p.call, p.call.Header, func() outcome.Reason {
		return d.checkBeforeWrite(p.lockedScheduler, p.call, b)
	})
	now := d.clock.Now()
	p.lockedScheduler.mu.Lock()
	defer p.lockedScheduler.mu.Unlock()
	var m target.Sample = target.NoEvidence{}
	if e, ok := x.Event.(outcome.Broken); ok && e.Reason != outcome.Reset {
		m = target.Abandoned{}
	}
	p.lockedScheduler.scheduler.release(now, p.reservation, m)
	if x.Header.Get(call.HeaderLeaving) != "" {
		b.announcedLeavingAt = now
		b.updateLeaving(now)
		return
	}
	switch e := x.Event.(type) {
	case outcome.Completed:
		b.target.RecordProbe(now, x.Status == http.StatusOK)
	case outcome.Broken:
		b.target.RecordProbe(now, false)
	case outcome.NeverWritten:
		if e.Reason == outcome.Unreachable {
			b.target.RecordProbe(now, false)
		}
	}
}

// ProbeSlotTime returns the slot time that all probes of this member have used.
func (d *Dispatcher) ProbeSlotTime() time.Duration {
	return time.Duration(d.probeSlotTime.Load())
}
