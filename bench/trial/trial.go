package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/amaranthramp/amaranthramp/bench/fleet"
	"github.com/amaranthramp/amaranthramp/bench/load"
	"github.com/amaranthramp/amaranthramp/bench/schedule"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/standin/judge"
)

// settleTime is the wait after the last answer, in which the upstreams finish their remaining requests.
const settleTime = 300 * time.Millisecond

// Options configure a trial.
type Options struct {
	Fleet  fleet.Options
	Load   float64
	For    time.Duration
	Seed   uint64
	Events []schedule.Event
	// Also runs concurrently with the load, for faults that a schedule can't express; it may be nil.
	Also func(ctx context.Context, f *fleet.Fleet) error
}

// Trial holds the results of a trial: the answers, the judge's verdict, and the findings from both.
type Trial struct {
	Result   *load.Result
	Verdict  *judge.Verdict
	Findings []load.Finding
}

// Run starts a deployment, sends the load while the events are applied, checks the invariants and stops the deployment.
func Run(ctx context.Context, o *Options) (t *Trial, err error) {
	f, err := fleet.Start(ctx, o.Fleet)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	p := load.Plan{
		Config: f.Config, Load: o.Load, Mean: o.Fleet.Mean, For: o.For, VMs: len(f.VMs), Seed: o.Seed,
	}
	e := load.NewEntries(f.Endpoints())
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go e.Watch(watching)
	failed := make(chan error, 2)
	go func() { failed <- schedule.Run(ctx, f, o.Events) }()
	go func() { failed <- o.runAlso(ctx, f) }()
	t = &Trial{Result: load.Run(ctx, p.Arrivals(), e)}
	if err := errors.Join(<-failed, <-failed); err != nil {
		return t, fmt.Errorf("inject faults: %w", err)
	}
	time.Sleep(settleTime)
	if t.Verdict, err = f.Verdict(ctx); err != nil {
		return t, err
	}
	t.Findings = load.CheckInvariants(t.Result, t.Verdict)
	return t, nil
}

// runAlso calls Also, if it is set.
func (o *Options) runAlso(ctx context.Context, f *fleet.Fleet) error {
	if o.Also == nil {
		return nil
	}
	return o.Also(ctx, f)
}

// Write prints the tables of a trial.
func (t *Trial) Write(w io.Writer) {
	t.Result.WriteTable(w)
	t.Result.WriteReasons(w)
	load.WriteFindings(w, t.Findings)
}

// WriteTraces prints the requests with an unknown outcome, and what the judges recorded about the first violations at
// each upstream.
func (t *Trial) WriteTraces(w io.Writer) {
	for i := range t.Result.Sent {
		n := &t.Result.Sent[i]
		if o := n.Answer.Outcome; o == outcome.Unknown || o == load.Cut {
			_, _ = fmt.Fprintf(w, "  %s sent at %s: %s %s after %s, %d runs\n", n.Answer.ID, n.At, o, n.Answer.Reason,
				n.Latency, t.Verdict.Runs[n.Answer.ID])
		}
	}
	for i := range t.Verdict.Upstream {
		u := &t.Verdict.Upstream[i]
		for _, x := range u.Traces {
			_, _ = fmt.Fprintf(w, "  %s %s: %s arrived, incarnation %d, %d completed\n", u.Name, x.What, x.Arrived,
				x.Incarnation, x.Completed)
			for _, p := range x.InFlight {
				_, _ = fmt.Fprintf(w, "    %s for %s, waiting %t, gone %t\n", p.ID, x.At.Sub(p.Since), p.Waiting, p.Gone)
			}
		}
	}
}
