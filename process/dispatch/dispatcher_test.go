package dispatch

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/handover"
	"github.com/amaranthramp/amaranthramp/process/shard"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/request/quarantine"
	"github.com/amaranthramp/amaranthramp/request/queue"
	"github.com/amaranthramp/amaranthramp/request/retry"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/wire"
)

// harness is a dispatcher with fake exchanges, whose results a test sets.
type harness struct {
	clock      *clock.Fake
	views      *view.Holder
	dispatcher *Dispatcher
	// sent counts the exchanges that passed the check, by address.
	sent map[ident.Address]int
	// other is the member that receives all messages, or nil if none is reachable.
	other *harness
	// beforeCheck runs before the check of each exchange; result returns the result of each exchange.
	beforeCheck func()
	result      func(a ident.Address) exchange.Result
}

// SendMessage delivers a message to the other member, or fails if there is none.
func (b *harness) SendMessage(ctx context.Context, _ ident.Address, k peer.MessageKind, m, a proto.Message) error {
	if b.other == nil {
		return errUnreachable
	}
	q, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	f := b.other.dispatcher.ReceiveHandover
	if k == handover.QueryKind {
		f = b.other.dispatcher.AnswerHandoverQuery
	}
	r, err := f(ctx, q)
	if err == nil {
		proto.Merge(a, r)
	}
	return err
}

var errUnreachable = errors.New("unreachable")

type fakeExchanger struct {
	b *harness
	a ident.Address
}

func (x fakeExchanger) Do(_ context.Context, _ *call.Call, _ http.Header, check func() outcome.Reason) exchange.Result {
	if x.b.beforeCheck != nil {
		x.b.beforeCheck()
	}
	if r := check(); r != "" {
		return exchange.Result{Event: outcome.NeverWritten{Reason: r}}
	}
	x.b.sent[x.a]++
	x.b.clock.Advance(answerTime)
	return x.b.result(x.a)
}

func completed(ident.Address) exchange.Result {
	return exchange.Result{Event: outcome.Completed{}, Status: http.StatusOK}
}

func newHarness(targets int) *harness {
	b := &harness{clock: clock.NewFake(), views: view.NewHolder(), sent: map[ident.Address]int{}, result: completed}
	b.dispatcher = New(b.views, &shard.TableCache{}, b.clock, retry.NewBudget(), quarantine.New(b.clock, 2),
		handover.NewInbox(b.clock), b,
		func(_ *config.Service, a ident.Address) Exchanger { return fakeExchanger{b: b, a: a} })
	b.setView(func(*view.View) {}, targets)
	return b
}

// setView stores a view in which this member owns every shard, changed by f.
func (b *harness) setView(f func(*view.View), targets int) {
	v := viewOf(serviceOf(targets), map[ident.Address]bool{}, false)
	v.Config.Budget.RetryShare = 1
	v.Self = "me"
	v.Epoch = &wire.Epoch{Number: 7, Members: []*wire.Member{{Id: "me", DataCentre: "here"}}}
	v.LeaseUntil = b.clock.Now().Add(time.Second)
	f(v)
	b.views.Set(v)
}

func (b *harness) call(idempotent bool) call.Answer {
	return b.dispatcher.Dispatch(context.Background(), &call.Call{
		ID: "1", Service: "notes", Class: "Note", Shard: "notes/here/0", Weight: 1, Attempt: 1, Idempotent: idempotent,
		Deadline: b.clock.Now().Add(300 * time.Millisecond), Header: http.Header{},
	})
}

func (b *harness) totalSent() int {
	n := 0
	for _, m := range b.sent {
		n += m
	}
	return n
}

// TestDispatchFaults checks the answer to one request and the number of attempts for each fault that an owner handles.
func TestDispatchFaults(t *testing.T) {
	failing := func(e outcome.Event) func(b *harness) {
		return func(b *harness) {
			b.result = func(ident.Address) exchange.Result {
				b.result = completed
				return exchange.Result{Event: e}
			}
		}
	}
	other := &wire.Epoch{Number: 8, Members: []*wire.Member{{Id: "you", DataCentre: "here"}}}
	rows := []struct {
		name       string
		arrange    func(b *harness)
		idempotent bool
		outcome    outcome.Outcome
		reason     outcome.Reason
		sent       int
	}{
		{"answered", func(*harness) {}, false, outcome.Done, "", 1},
		{"lease expired", func(b *harness) { b.clock.Advance(time.Second) }, false, outcome.NotRun, outcome.NoLease, 0},
		{"process paused before the write until its lease expired", func(b *harness) {
			b.beforeCheck = func() { b.clock.Advance(time.Second) }
		}, true, outcome.NotRun, outcome.NoLease, 0},
		{"lease ends before a request to a cold target would", func(b *harness) {
			b.clock.Advance(800 * time.Millisecond)
		}, true, outcome.NotRun, outcome.NoLease, 0},
		{"another owner", func(b *harness) {
			b.setView(func(v *view.View) { v.Epoch = other }, 2)
		}, true, outcome.NotRun, outcome.NotOwner, 0},
		{"another owner before the write", func(b *harness) {
			b.beforeCheck = func() { b.setView(func(v *view.View) { v.Epoch = other }, 2) }
		}, true, outcome.NotRun, outcome.NotOwner, 0},
		{"former owner may still have a lease", func(b *harness) {
			b.setView(func(v *view.View) {
				v.Epoch.Earlier = []*wire.EarlierEpoch{{Number: 6, Members: other.Members, Open: []string{"you"}}}
			}, 2)
		}, true, outcome.NotRun, outcome.NotOwner, 0},
		{"data centre evacuated", func(b *harness) {
			b.setView(func(v *view.View) { v.Config.DataCentre[0].State = config.Out }, 2)
		}, true, outcome.NotRun, outcome.NoTarget, 0},
		{"data centre evacuated before the write", func(b *harness) {
			b.beforeCheck = func() { b.setView(func(v *view.View) { v.Config.DataCentre[0].State = config.Out }, 2) }
		}, true, outcome.NotRun, outcome.NoTarget, 0},
		{"all targets leaving", func(b *harness) {
			b.setView(func(v *view.View) { v.LeavingUpstreams["notes-0"], v.LeavingUpstreams["notes-1"] = true, true }, 2)
		}, true, outcome.NotRun, outcome.NoTarget, 0},
		{"refused once", failing(outcome.Refused{Reason: outcome.Shed}), false, outcome.Done, "", 2},
		{"unreachable once", failing(outcome.NeverWritten{Reason: outcome.Unreachable}), false, outcome.Done, "", 2},
		{"crash, not idempotent", failing(outcome.Broken{Reason: outcome.Reset}), false, outcome.Unknown, outcome.Reset, 1},
		{"crash, idempotent", failing(outcome.Broken{Reason: outcome.Reset}), true, outcome.Done, "", 2},
		{"unknown shard", func(b *harness) {
			b.setView(func(v *view.View) { v.Config.Service = nil }, 2)
		}, true, outcome.NotRun, outcome.NoTarget, 0},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			b := newHarness(2)
			r.arrange(b)
			a := b.call(r.idempotent)
			if a.Outcome != r.outcome || a.Reason != r.reason || b.totalSent() != r.sent {
				t.Errorf("outcome %s, reason %q, %d attempts sent; want %s, %q, %d",
					a.Outcome, a.Reason, b.totalSent(), r.outcome, r.reason, r.sent)
			}
			if n := b.dispatcher.InFlight(); n != 0 {
				t.Errorf("%d requests in flight after the answer, want 0", n)
			}
		})
	}
}

// TestDispatchQueued checks the reason with which a queued request is refused when its shard is lost, its caller
// cancels, its deadline passes or its data centre is evacuated.
func TestDispatchQueued(t *testing.T) {
	rows := []struct {
		name   string
		event  func(b *harness, cancel func())
		reason outcome.Reason
	}{
		{"lost shard", func(b *harness, _ func()) {
			b.setView(func(v *view.View) { v.Epoch = &wire.Epoch{Number: 8} }, 1)
			b.dispatcher.refreshAll()
		}, outcome.NotOwner},
		{"cancelled by the caller", func(_ *harness, cancel func()) { cancel() }, outcome.Cancelled},
		{"deadline", func(b *harness, _ func()) {
			b.clock.Advance(time.Second)
			b.setView(func(*view.View) {}, 1)
			b.dispatcher.refreshAll()
		}, outcome.Expired},
		{"data centre evacuated", func(b *harness, _ func()) {
			b.setView(func(v *view.View) { v.Config.DataCentre[0].State = config.Out }, 1)
			b.dispatcher.refreshAll()
		}, outcome.NoTarget},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			b := newHarness(1)
			o, _ := b.dispatcher.schedulerFor(b.views.Get(), "notes/here/0")
			newRequest := func() *slotRequest {
				return newSlotRequest(queue.NewItem("Note", 1, b.clock.Now().Add(300*time.Millisecond)), true)
			}
			if g, _ := b.dispatcher.submit(o, newRequest()); g.reservation == nil {
				t.Fatal("the first request got no slot at once, want a reservation")
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			got := make(chan grant, 1)
			k := newRequest()
			if _, ok := b.dispatcher.submit(o, k); ok {
				t.Fatal("the second request was answered at once, want it queued")
			}
			go func() { got <- b.dispatcher.awaitGrant(ctx, o, k) }()
			r.event(b, cancel)
			if g := <-got; g.reservation != nil || g.reason != r.reason {
				t.Errorf("got grant %+v, want a refusal with reason %q", g, r.reason)
			}
		})
	}
}

// TestSelectTargetBeyondSlots checks the choice between a straggling target and one request more than the slots of
// another target. The free slots of the other targets are used first. While only the straggling target has a free
// slot, none is selected and requests wait. Once its slot is taken too, another target gets one request beyond its
// slots.
func TestSelectTargetBeyondSlots(t *testing.T) {
	o := newModel()
	for _, p := range o.scheduler.targets {
		for range 3 * minEvidence {
			o.started = append(o.started, p.reserve(o.clock.Now(), 0))
			o.clock.Advance(answerTime)
			o.answerOldest()
		}
	}
	straggler := o.scheduler.targets[0]
	o.slowTarget = straggler.address
	for range minEvidence {
		o.started = append(o.started, straggler.reserve(o.clock.Now(), 0))
		o.clock.Advance(10 * answerTime)
		o.answerOldest()
	}
	var last *targetEntry
	for range 2 * slots {
		last = o.scheduler.selectTarget(o.clock.Now(), true, "")
		last.reserve(o.clock.Now(), 0)
	}
	if p := o.scheduler.selectTarget(o.clock.Now(), true, ""); p != nil {
		t.Fatalf("selected %s in state %s while only the straggling target has a free slot, want none",
			p.address, p.target.State())
	}
	straggler.reserve(o.clock.Now(), 0)
	if p := o.scheduler.selectTarget(o.clock.Now(), true, ""); p == nil || p == straggler {
		t.Fatalf("selected %+v while all slots are taken, want a target other than the straggling %s", p, straggler.address)
	}
	if last == straggler {
		t.Fatal("selected the straggling target before the slots of the others were taken, want another target")
	}
}
