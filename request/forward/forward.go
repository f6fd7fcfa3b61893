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

// maxShardAttempts limits how many shards one request is sent to.
const maxShardAttempts = 2

// Dispatcher dispatches calls to the shards that this member owns itself.
type Dispatcher interface {
	Dispatch(ctx context.Context, c *call.Call) call.Answer
}

// PeerClient sends calls to other members.
type PeerClient interface {
	Forward(ctx context.Context, a ident.Address, c *call.Call) call.Answer
}

// Forwarder forwards calls from callers to the owners of the shards.
type Forwarder struct {
	views  *view.Holder
	local  Dispatcher
	remote PeerClient
	ranker *choice.Ranker
	budget *retry.Budget
	clock  clock.Clock
	tables shard.TableCache
}

// New returns a forwarder that uses the local dispatcher and the client of the other members.
func New(v *view.Holder, l Dispatcher, r PeerClient, b *choice.Ranker, t *retry.Budget, c clock.Clock) *Forwarder {
	return &Forwarder{views: v, local: l, remote: r, ranker: b, budget: t, clock: c}
}

// Do forwards a call and returns its final answer.
func (f *Forwarder) Do(ctx context.Context, c *call.Call) call.Answer {
	a := call.NotRun(outcome.NoTarget)
	v := f.views.Get()
	s, ok := v.Config.FindService(c.Service)
	if !ok {
		return call.NotRun(outcome.NoService)
	}
	if c.Attempt <= 1 {
		f.budget.RecordFirstAttempt(s.Name, v.Config.Budget.RetryShare)
	}
	var y rule.History
	for i, h := range f.ranker.Rank(v, s) {
		if i == maxShardAttempts || (i > 0 && !f.mayRetry(ctx, c, &a)) {
			break
		}
		k := *c
		// The owner sees a second shard as a second attempt and therefore doesn't retry by itself.
		k.Attempt += ident.Attempt(i)
		k.Shard = h.ID
		a = f.send(ctx, v, &h, &k)
		f.ranker.Record(h.ID, &a, f.clock.Now())
		d := y.Decide(a.Event, c.Idempotent)
		a.SetOutcome(d.Outcome)
		if !d.Retry {
			break
		}
	}
	return a
}

// mayRetry reports whether a call may be sent to another shard. If nothing reached an upstream because the owner was
// unreachable or has changed, the next attempt is the first that costs an upstream anything, so it takes nothing from
// the retry budget.
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
	m := f.tables.For(v).Dispatcher(h.ID, v)
	if m == nil {
		return call.NotRun(outcome.NotOwner)
	}
	if isSelf(v, m) {
		return f.local.Dispatch(ctx, c)
	}
	return f.remote.Forward(ctx, ident.Address(m.GetPeerAddress()), c)
}

func isSelf(v *view.View, m *wire.Member) bool {
	return m.GetId() == string(v.Self)
}
