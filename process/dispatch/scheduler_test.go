package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/handover"
	"github.com/amaranthramp/amaranthramp/process/shard"
	"github.com/amaranthramp/amaranthramp/process/target"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/request/queue"
	"github.com/amaranthramp/amaranthramp/version/config"
)

const (
	slots = 3
	cold  = 1
	// minEvidence is the least number of answers that may raise a limit.
	minEvidence = 16
	answerTime  = 5 * time.Millisecond
)

// noExchanger is an exchanger for tests that send nothing.
type noExchanger struct{}

func (noExchanger) Do(context.Context, *call.Call, http.Header, func() outcome.Reason) exchange.Result {
	return exchange.Result{Event: outcome.NeverWritten{Reason: outcome.Unreachable}}
}

func newNoExchanger(*config.Service, ident.Address) Exchanger { return noExchanger{} }

func serviceOf(targets int) *config.Service {
	s := &config.Service{Name: "notes", Shards: 1, Slots: slots, ColdLimit: cold, Connections: 10}
	for i := range targets {
		n := fmt.Sprintf("notes-%d", i)
		s.Upstream = append(s.Upstream, config.Upstream{
			Name: ident.Upstream(n), Address: ident.Address(n), DataCentre: "here", State: config.In,
		})
	}
	return s
}

func viewOf(s *config.Service, leaving map[ident.Address]bool, evacuated bool) *view.View {
	d := config.DataCentre{Name: "here", State: config.In}
	if evacuated {
		d.State = config.Out
	}
	c := &config.Config{DataCentre: []config.DataCentre{d}, Service: []config.Service{*s}}
	return &view.View{Config: c, LeavingUpstreams: leaving}
}

// model drives a scheduler and records which requests are in flight at which target and how many answers each target
// has given since it was last cold.
type model struct {
	clock     *clock.Fake
	scheduler *scheduler
	service   *config.Service
	leaving   map[ident.Address]bool
	evacuated bool
	started   []*reservation
	answers   map[ident.Address]int
	inherited map[ident.Address]int
	// inheritedEnd is when the requests that a former owner left in flight have all ended.
	inheritedEnd clock.Instant
	// waiting holds each queued slot request that has no grant yet.
	waiting []*slotRequest
	// slowTarget is the target whose answers take ten times as long.
	slowTarget ident.Address
}

func newModel() *model {
	f := clock.NewFake()
	o := &model{
		clock: f, scheduler: newScheduler("notes/here/0", f.Now(), newNoExchanger), service: serviceOf(3),
		leaving: map[ident.Address]bool{}, answers: map[ident.Address]int{}, inherited: map[ident.Address]int{},
	}
	o.applyView()
	return o
}

func (o *model) applyView() {
	l := map[ident.Address]bool{}
	for a, b := range o.leaving {
		l[a] = b
	}
	v := viewOf(o.service, l, o.evacuated)
	s := &v.Config.Service[0]
	o.scheduler.applyView(o.clock.Now(), v, s, &shard.Split(s)[0])
}

func (o *model) inFlight(a ident.Address) int {
	n := 0
	if o.clock.Now() < o.inheritedEnd {
		n = o.inherited[a]
	}
	for _, b := range o.started {
		if b.entry.address == a {
			n++
		}
	}
	return n
}

// checkStarted checks a reservation immediately after it was granted.
func (o *model) checkStarted(t *rapid.T, b *reservation) {
	a := b.entry.address
	o.started = append(o.started, b)
	n := o.inFlight(a)
	switch {
	case o.leaving[a] || o.evacuated:
		t.Fatalf("%s got a request while it was leaving or its data centre was evacuated, want none", a)
	case o.answers[a] < minEvidence && n > cold:
		t.Fatalf("%d in flight at %s, which is cold after %d answers; want at most %d", n, a, o.answers[a], cold)
	case n > slots+1:
		t.Fatalf("%d in flight at %s, want at most %d", n, a, slots+1)
	case n == slots+1:
		for _, p := range o.scheduler.targets {
			if p.target.FreeSlots(o.clock.Now()) > 0 {
				t.Fatalf("%d in flight at %s, want at most %d while %s has free slots", n, a, slots, p.address)
			}
		}
	}
}

// collectGrants receives the grants that the last step sent, and checks them and the queue.
func (o *model) collectGrants(t *rapid.T) {
	var l []*slotRequest
	for _, k := range o.waiting {
		select {
		case g := <-k.granted:
			if g.reservation != nil && k.item.Deadline <= o.clock.Now() {
				t.Fatal("a request started after its deadline, want a refusal")
			}
			if g.reservation != nil {
				o.checkStarted(t, g.reservation)
			} else if g.reason == "" {
				t.Fatal("grant has neither a reservation nor a reason, want one of them")
			}
		default:
			l = append(l, k)
		}
	}
	o.waiting = l
	if i := o.scheduler.queue.Peek(); i != nil {
		if p := o.scheduler.selectTarget(o.clock.Now(), false, ""); p != nil {
			t.Fatalf("a request waits, want it started at %s, which can take it", p.address)
		}
	}
	if n := o.scheduler.queue.Len(); n != len(o.waiting) {
		t.Fatalf("%d requests in the queue, want %d", n, len(o.waiting))
	}
}

func (o *model) submitRandom(t *rapid.T) {
	w := rapid.SampledFrom([]ident.Weight{1, 4}).Draw(t, "weight")
	d := time.Duration(rapid.IntRange(1, 300).Draw(t, "deadline")) * time.Millisecond
	i := queue.NewItem(ident.Class(fmt.Sprint(w)), w, o.clock.Now().Add(d))
	k := newSlotRequest(i, rapid.Bool().Draw(t, "idempotent"))
	g, done := o.scheduler.submit(o.clock.Now(), k)
	switch {
	case !done:
		o.waiting = append(o.waiting, k)
	case g.reservation != nil:
		o.checkStarted(t, g.reservation)
	case g.reason == "":
		t.Fatal("grant has neither a reservation nor a reason, want one of them")
	}
	o.clock.Advance(1)
}

func (o *model) endRandomRequest(t *rapid.T, m target.Sample) {
	if len(o.started) > 0 {
		o.endRequest(rapid.IntRange(0, len(o.started)-1).Draw(t, "which"), m)
	}
}

// endRequest ends the request of the reservation o.started[i] with the given sample.
func (o *model) endRequest(i int, m target.Sample) {
	b := o.started[i]
	o.started = append(o.started[:i:i], o.started[i+1:]...)
	switch v := m.(type) {
	case target.Success:
		o.answers[b.entry.address]++
	case target.Failure:
		if v.Reason == outcome.Reset {
			o.answers[b.entry.address] = 0
		}
	}
	o.scheduler.release(o.clock.Now(), b, m)
}

// warm sends requests until every target can be warm.
func (o *model) warm(t *rapid.T) {
	for range 4 * 3 * minEvidence {
		o.submitPatient(t)
		o.clock.Advance(answerTime)
		o.answerOldest()
	}
}

// submitPatient submits a request that may wait for a second.
func (o *model) submitPatient(t *rapid.T) {
	k := newSlotRequest(queue.NewItem("1", 1, o.clock.Now().Add(time.Second)), true)
	g, done := o.scheduler.submit(o.clock.Now(), k)
	if !done {
		o.waiting = append(o.waiting, k)
	} else if g.reservation != nil {
		o.checkStarted(t, g.reservation)
	}
	o.clock.Advance(1)
}

// answerOldest ends the oldest request in flight with a complete answer.
func (o *model) answerOldest() {
	if len(o.started) == 0 {
		return
	}
	l := answerTime
	if o.started[0].entry.address == o.slowTarget {
		l = 10 * answerTime
	}
	o.endRequest(0, target.Success{Latency: l, Incarnation: "a"})
}

// runBusy submits and answers requests as on a busy shard.
func (o *model) runBusy(t *rapid.T) {
	for range 60 {
		o.submitPatient(t)
		o.collectGrants(t)
		if len(o.started) > 2*slots {
			o.answerOldest()
			o.collectGrants(t)
		}
	}
}

// crash ends all requests in flight at a target with a reset.
func (o *model) crash(a ident.Address) {
	for i := len(o.started) - 1; i >= 0; i-- {
		if o.started[i].entry.address == a {
			o.endRequest(i, target.Failure{Reason: outcome.Reset})
		}
	}
}

func (o *model) randomAddress(t *rapid.T) ident.Address {
	return o.service.Upstream[rapid.IntRange(0, len(o.service.Upstream)-1).Draw(t, "target")].Address
}

func (o *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":   o.submitRandom,
		"answer":   func(t *rapid.T) { o.answerOldest() },
		"busy":     o.runBusy,
		"straggle": func(t *rapid.T) { o.slowTarget = o.randomAddress(t) },
		"crash":    func(t *rapid.T) { o.crash(o.randomAddress(t)) },
		"burst": func(t *rapid.T) {
			for range 12 {
				o.submitRandom(t)
			}
		},
		"reset":   func(t *rapid.T) { o.endRandomRequest(t, target.Failure{Reason: outcome.Reset}) },
		"refuse":  func(t *rapid.T) { o.endRandomRequest(t, target.Refusal{}) },
		"silence": func(t *rapid.T) { o.endRandomRequest(t, target.Failure{Reason: outcome.Silent}) },
		"cancel":  func(t *rapid.T) { o.endRandomRequest(t, target.NoEvidence{}) },
		"advance": func(t *rapid.T) {
			o.clock.Advance(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			o.scheduler.startQueued(o.clock.Now())
		},
		"leave": func(t *rapid.T) {
			a := o.randomAddress(t)
			o.leaving[a] = !o.leaving[a]
			o.answers[a] = 0
			o.applyView()
		},
		"evacuate": func(*rapid.T) {
			o.evacuated = !o.evacuated
			clear(o.answers)
			o.applyView()
		},
		"withdraw": func(*rapid.T) {
			if len(o.waiting) > 0 && o.scheduler.withdraw(o.clock.Now(), o.waiting[0]) {
				o.waiting = o.waiting[1:]
			}
		},
		"relinquish": func(*rapid.T) {
			o.scheduler.relinquish(o.clock.Now())
			o.applyView()
			clear(o.answers)
		},
		"handover": func(t *rapid.T) {
			a, n := o.randomAddress(t), rapid.IntRange(0, 2).Draw(t, "inherited")
			clear(o.inherited)
			o.inherited[a], o.inheritedEnd = n, o.clock.Now().Add(100*time.Millisecond)
			h := &handover.Handover{Member: "former", Targets: []handover.Target{{
				Address: a, Snapshot: target.Snapshot{State: target.Cold, InFlight: n}, RemainingTime: 100 * time.Millisecond,
			}}}
			o.scheduler.applyHandover(o.clock.Now(), &handover.Received{Handover: h, ReceivedAt: o.clock.Now()})
		},
		"": func(t *rapid.T) { o.collectGrants(t) },
	}
}

// TestScheduler runs random actions on a scheduler and checks it against the model, then lets all requests end: each
// must get an answer.
func TestScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newModel()
		if rapid.Bool().Draw(t, "warm") {
			o.warm(t)
		}
		t.Repeat(o.actions())
		for range 400 {
			o.collectGrants(t)
			o.answerOldest()
			o.collectGrants(t)
			o.clock.Advance(answerTime)
			o.scheduler.startQueued(o.clock.Now())
		}
		o.collectGrants(t)
		if len(o.waiting) > 0 || o.scheduler.inFlight(o.clock.Now()) > 0 {
			t.Fatalf("%d requests got no grant and %d are in flight, want none",
				len(o.waiting), o.scheduler.inFlight(o.clock.Now()))
		}
	})
}
