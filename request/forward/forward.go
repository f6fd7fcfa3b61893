package forward

import (
	"context"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/shard"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/choice"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/request/retry"
	"github.com/amaranthramp/amaranthramp/request/rule"
	"github.com/amaranthramp/amaranthramp/wire"
)

// maxShards bounds the shards that one request is offered to.
const maxShards = 2

// Local runs calls of the shards that this member owns itself.
type Local interface {
	Dispatch(ctx context.Context, c *call.Call) call.Answer
}

// Remote runs calls at other members.
type Remote interface {
	Send(ctx context.Context, a ident.Address, c *call.Call) call.Answer
}

// Forwarder takes calls from callers to the owners of their shards.
type Forwarder struct {
	views  *view.Holder
	local  Local
	remote Remote
	choice *choice.Board
	budget *retry.Budget
	clock  clock.Clock
	tables shard.Tables
}

// New returns a forwarder over the local dispatcher and the client of the other members.
func New(v *view.Holder, l Local, r Remote, b *choice.Board, t *retry.Budget, c clock.Clock) *Forwarder {
	return &Forwarder{views: v, local: l, remote: r, choice: b, budget: t, clock: c}
}

// Do returns the final answer of a call.
func (f *Forwarder) Do(ctx context.Context, c *call.Call) call.Answer {
	a := call.NotRun(outcome.NoTarget)
	v := f.views.Get()
	s, ok := v.Config.FindService(c.Service)
	if !ok {
		return call.NotRun(outcome.NoService)
	}
	if c.Attempt <= 1 {
		f.budget.First(s.Name, v.Config.Budget.RetryShare)
	}
	var y rule.History
	for i, h := range f.choice.Order(v, s) {
		if i == maxShards || (i > 0 && !f.mayRetry(ctx, c, &a)) {
			break
		}
		k := *c
		// The owner sees a second attempt as one, and does not try again itself.
		k.Attempt += ident.Attempt(i)
		k.Shard = h.ID
		a = f.send(ctx, v, &h, &k)
		f.choice.Heard(h.ID, &a, f.clock.Now())
		d := y.Decide(a.Event, c.Idempotent)
		a.Correct(d.Outcome)
		if !d.Retry {
			break
		}
	}
	return a
}

// mayRetry tells whether a call may be offered to another shard. Where nothing reached an upstream because its owner
// could not be reached or has changed, the next try is the first that costs an upstream anything, and is free.
func (f *Forwarder) mayRetry(ctx context.Context, c *call.Call, a *call.Answer) bool {
	if ctx.Err() != nil || f.clock.Now() >= c.Deadline {
		return false
	}
	if _, ok := a.Event.(outcome.NeverWritten); ok {
		switch a.Reason {
		case outcome.NotOwner, outcome.NoLease, outcome.Unreachable:
			return true
		}
	}
	return c.Attempt <= 1 && f.budget.Take(c.Service)
}

func (f *Forwarder) send(ctx context.Context, v *view.View, h *shard.Shard, c *call.Call) call.Answer {
	m := f.tables.Of(v).Dispatcher(h.ID, v)
	if m == nil {
		return call.NotRun(outcome.NotOwner)
	}
	if isSelf(v, m) {
		return f.local.Dispatch(ctx, c)
	}
	return f.remote.Send(ctx, ident.Address(m.GetPeerAddress()), c)
}

func isSelf(v *view.View, m *wire.Member) bool {
	return m.GetId() == string(v.Self)
}
