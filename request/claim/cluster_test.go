package claim

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/wire"
)

const testRetention = 10 * time.Minute

// delivery is what the network does with one message.
type delivery int

const (
	delivered delivery = iota
	replyLost
	requestLost
	delayed
)

// node is an entry process.
type node struct {
	member   *wire.Member
	views    *view.Holder
	replicas *Replicas
	dead     bool
}

// cluster is a set of nodes whose network, clock and scheduling the test controls.
type cluster struct {
	clock   *clock.Fake
	epoch   *wire.Epoch
	nodes   []*node
	delayed []Envelope
	// deliveryOf decides what happens to each message; by default all are delivered.
	deliveryOf func(e *Envelope) delivery
	order      func(n int) []int
	lastID     int
	// runs counts the runs of each key since the records last expired.
	runs map[ident.Key]int
	// paused receives an attempt whenever it waits to be resumed or has ended.
	paused chan *attempt
}

func newCluster(members int) *cluster {
	w := &cluster{
		clock: clock.NewFake(), epoch: &wire.Epoch{Number: 1}, runs: map[ident.Key]int{}, paused: make(chan *attempt),
		deliveryOf: func(*Envelope) delivery { return delivered },
	}
	w.order = w.inOrder
	for range members {
		w.epoch.Members = append(w.epoch.Members, w.startNode().member)
	}
	for _, n := range w.nodes {
		w.updateView(n)
	}
	return w
}

func (w *cluster) startNode() *node {
	w.lastID++
	n := &node{views: view.NewHolder(), member: &wire.Member{
		Id: fmt.Sprintf("m%d", w.lastID), DataCentre: fmt.Sprintf("d%d", w.lastID%3),
	}}
	n.replicas = NewReplicas(n.views, &directNetwork{w}, w.clock, w.wall)
	w.nodes = append(w.nodes, n)
	return n
}

func (w *cluster) wall() time.Time {
	return time.Unix(0, int64(w.clock.Now()))
}

// updateView gives a node the newest epoch and a lease.
func (w *cluster) updateView(n *node) {
	n.views.Set(&view.View{
		Self: ident.Member(n.member.GetId()), Epoch: proto.CloneOf(w.epoch),
		LeaseUntil: w.clock.Now().Add(1000 * time.Hour),
		Config: &config.Config{Service: []config.Service{{
			Name: "s", KeyRetention: config.Duration(testRetention),
		}}},
	})
}

// changeMembers ends the epoch and begins a new one with the given members.
func (w *cluster) changeMembers(members []*wire.Member) {
	e := w.epoch
	p := &wire.PastEpoch{Number: e.GetNumber(), Members: e.GetMembers(), EndedUnixMs: w.wall().UnixMilli()}
	w.epoch = &wire.Epoch{
		Number: e.GetNumber() + 1, Members: members, Past: append(slices.Clone(e.GetPast()), p), PastCut: e.GetPastCut(),
	}
}

// dropOldestEpoch drops the oldest past epoch from the list, although its records may still count.
func (w *cluster) dropOldestEpoch() {
	p := w.epoch.GetPast()
	if len(p) == 0 {
		return
	}
	w.epoch = proto.CloneOf(w.epoch)
	w.epoch.PastCut = max(w.epoch.GetPastCut(), p[0].GetEndedUnixMs())
	w.epoch.Past = w.epoch.GetPast()[1:]
}

// passRetention lets the retention time pass: records expire, past epochs are dropped, and the leases of nodes that
// missed the newest epoch lapse.
func (w *cluster) passRetention() {
	w.clock.Advance(testRetention + 2*maxWallSkew)
	w.runs = map[ident.Key]int{}
	w.epoch = proto.CloneOf(w.epoch)
	w.epoch.Past = nil
	for _, n := range w.nodes {
		v := *n.views.Get()
		if v.Epoch.GetNumber() != w.epoch.GetNumber() {
			v.LeaseUntil = 0
			n.views.Set(&v)
		}
	}
}

func (w *cluster) handle(e *Envelope) *wire.ClaimReply {
	for _, n := range w.nodes {
		if n.member.GetId() == e.To.GetId() && !n.dead {
			return n.replicas.Handle(proto.CloneOf(e.Request))
		}
	}
	return nil
}

// transmit decides what happens to the messages of one fan-out, one after the other.
func (w *cluster) transmit(l []Envelope, handle func(i int, r *wire.ClaimReply) bool) {
	for _, i := range w.order(len(l)) {
		switch w.deliveryOf(&l[i]) {
		case delivered:
			if r := w.handle(&l[i]); r != nil && handle(i, proto.CloneOf(r)) {
				return
			}
		case replyLost:
			w.handle(&l[i])
		case delayed:
			w.delayed = append(w.delayed, Envelope{To: l[i].To, Request: proto.CloneOf(l[i].Request)})
		}
	}
}

// directNetwork is a network that transmits at once.
type directNetwork struct{ w *cluster }

func (d *directNetwork) FanOut(_ context.Context, l []Envelope, handle func(i int, r *wire.ClaimReply) bool) {
	d.w.transmit(l, handle)
}

// attempt is one request in progress; it continues only when the test resumes it.
type attempt struct {
	w      *cluster
	key    ident.Key
	node   *node
	resume chan bool
	cancel func()
	// transmit is set while the attempt waits for its messages to be transmitted.
	transmit func()
	// reservation is set once the attempt may dispatch the request.
	reservation *Reservation
	// answer is set once the attempt is over.
	answer    *call.Answer
	abandoned bool
}

// FanOut waits for the test before it transmits; settlements become delayed messages.
func (a *attempt) FanOut(_ context.Context, l []Envelope, handle func(i int, r *wire.ClaimReply) bool) {
	if _, ok := l[0].Request.GetBody().(*wire.ClaimRequest_Settle); ok {
		for _, e := range l {
			a.w.delayed = append(a.w.delayed, Envelope{To: e.To, Request: proto.CloneOf(e.Request)})
		}
		return
	}
	a.transmit = func() { a.w.transmit(l, handle) }
	a.yield()
	a.transmit = nil
}

// yield returns control to the test until it resumes the attempt, and reports whether to go on.
func (a *attempt) yield() bool {
	a.w.paused <- a
	return <-a.resume
}

// begin starts an attempt and returns it when it waits for the first time.
func (w *cluster) begin(n *node, k ident.Key, body string) *attempt {
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{w: w, key: k, node: n, resume: make(chan bool), cancel: cancel}
	var m *Claimer
	m = NewClaimer(n.views, a, w.clock, func(context.Context, time.Duration) bool {
		m.Drain()
		return a.yield()
	})
	c := &call.Call{
		Service: "s", Key: k, Method: http.MethodPost, Path: "/claim", Body: []byte(body),
		Deadline: w.clock.Now().Add(time.Second),
	}
	go func() {
		t, o := m.Reserve(ctx, c)
		m.Drain()
		if t == nil {
			a.answer = &o
		}
		a.reservation = t
		w.paused <- a
	}()
	<-w.paused
	return a
}

// resume transmits the messages that the attempt waits for, if any, and lets the attempt continue until it waits
// again.
func (w *cluster) resume(a *attempt, proceed bool) {
	if a.transmit != nil {
		a.transmit()
	}
	a.resume <- proceed
	<-w.paused
}

// finish ends an attempt that holds a reservation: the request runs, or certainly does not, and the replicas are told
// or not.
func (w *cluster) finish(a *attempt, o outcome.Outcome, tell bool) {
	if o != outcome.NotRun {
		w.runs[a.key]++
	}
	a.answer = &call.Answer{Outcome: o, Status: http.StatusOK, Body: []byte("ran")}
	t := a.reservation
	a.reservation = nil
	if tell {
		t.Finish(a.answer)
		t.claimer.Drain()
	}
}

// deliverDelayed delivers all delayed messages.
func (w *cluster) deliverDelayed() {
	for _, e := range w.delayed {
		w.handle(&e)
	}
	w.delayed = nil
}

// run processes a request to its end without faults.
func (w *cluster) run(n *node, k ident.Key, body string) call.Answer {
	a := w.begin(n, k, body)
	for a.reservation == nil && a.answer == nil {
		w.deliverDelayed()
		w.clock.Advance(100 * time.Millisecond)
		w.resume(a, true)
	}
	if a.reservation != nil {
		w.finish(a, outcome.Done, true)
		w.deliverDelayed()
	}
	return *a.answer
}
