package forward

import (
	"context"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/choice"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/request/retry"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/wire"
)

const testRetryShare = 0.1

// dispatcherFunc implements Dispatcher by a function.
type dispatcherFunc func(ctx context.Context, c *call.Call) call.Answer

func (l dispatcherFunc) Dispatch(ctx context.Context, c *call.Call) call.Answer { return l(ctx, c) }

func newForwarder(l dispatcherFunc) *Forwarder {
	v := view.NewHolder()
	e := &wire.Epoch{Number: 1, Members: []*wire.Member{{Id: "m", DataCentre: "a"}}}
	k := &config.Config{
		Budget:     config.Budget{RetryShare: testRetryShare},
		DataCentre: []config.DataCentre{{Name: "a", State: config.In}, {Name: "b", State: config.In}},
		Service: []config.Service{{Name: "s", Shards: 1, Upstream: []config.Upstream{
			{Name: "u", DataCentre: "a", Address: "u:1"}, {Name: "w", DataCentre: "b", Address: "w:1"},
		}}},
	}
	v.Set(&view.View{Self: "m", Epoch: e, Config: k})
	c := clock.NewFake()
	return New(v, l, nil, choice.New(c), retry.NewBudget(), c)
}

func newCall(n ident.Attempt, idempotent bool) *call.Call {
	return &call.Call{
		Service: "s", Attempt: n, Idempotent: idempotent, Deadline: clock.NewFake().Now().Add(time.Second),
	}
}

// TestRetryAmplification checks the bound on executions at the last of eleven layers of services when every call
// there fails: each layer may add its share of retries, and the retries that a quiet service has saved up.
func TestRetryAmplification(t *testing.T) {
	const layers, calls, saved = 11, 1000, 10
	runs := 0
	next := dispatcherFunc(func(context.Context, *call.Call) call.Answer {
		runs++
		return call.Unknown(outcome.Reset)
	})
	for range layers {
		f := newForwarder(next)
		next = func(ctx context.Context, c *call.Call) call.Answer {
			f.Do(ctx, newCall(c.Attempt, true))
			return call.Unknown(outcome.Reset)
		}
	}
	for range calls {
		next(context.Background(), newCall(1, true))
	}
	if bound := calls*(1+layers*testRetryShare) + layers*saved; float64(runs) > bound || runs < calls {
		t.Errorf("%d executions of %d calls, want at least one each and at most %.0f", runs, calls, bound)
	}
}

// TestRetry checks, for each way in which the first shard can fail, whether a second shard is tried.
func TestRetry(t *testing.T) {
	type row struct {
		name       string
		first      call.Answer
		attempt    ident.Attempt
		idempotent bool
		attempts   int
		want       outcome.Outcome
	}
	rows := []row{
		{"owner changed", call.NotRun(outcome.NotOwner), 1, false, 2, outcome.Done},
		{"owner changed, second attempt", call.NotRun(outcome.NotOwner), 2, false, 2, outcome.Done},
		{"overloaded", call.NotRun(outcome.Overload), 1, false, 2, outcome.Done},
		{"overloaded, second attempt", call.NotRun(outcome.Overload), 2, false, 1, outcome.NotRun},
		{"connection reset", call.Unknown(outcome.Reset), 1, false, 1, outcome.Unknown},
		{"connection reset, idempotent", call.Unknown(outcome.Reset), 1, true, 2, outcome.Done},
		{"connection reset, idempotent, second attempt", call.Unknown(outcome.Reset), 2, true, 1, outcome.Unknown},
		{"quarantined", call.Rejected(outcome.Quarantined, 422), 1, true, 1, outcome.NotRun},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			var seen []ident.Attempt
			f := newForwarder(func(_ context.Context, c *call.Call) call.Answer {
				seen = append(seen, c.Attempt)
				if len(seen) == 1 {
					return r.first
				}
				return call.Answer{Outcome: outcome.Done, Event: outcome.Completed{}}
			})
			for range 20 {
				f.budget.RecordFirstAttempt("s", testRetryShare)
			}
			a := f.Do(context.Background(), newCall(r.attempt, r.idempotent))
			if len(seen) != r.attempts || a.Outcome != r.want {
				t.Errorf("%d attempts, outcome %s, want %d, %s", len(seen), a.Outcome, r.attempts, r.want)
			}
			if len(seen) == 2 && seen[1] <= max(seen[0], 1) {
				t.Errorf("attempt numbers %v, want increasing ones", seen)
			}
		})
	}
}

// TestNoRetryWithoutBudget checks that with an empty retry budget a failed call is answered at once, with the outcome
// not-run.
func TestNoRetryWithoutBudget(t *testing.T) {
	f := newForwarder(func(context.Context, *call.Call) call.Answer { return call.NotRun(outcome.Overload) })
	a := f.Do(context.Background(), newCall(1, true))
	if a.Outcome != outcome.NotRun || a.RetryAfter == 0 {
		t.Errorf("answer %+v, want not-run with a time after which to retry", a)
	}
}
