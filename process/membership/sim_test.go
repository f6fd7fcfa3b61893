package membership

import (
	"fmt"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/shard"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/wire"
)

// step is the resolution of the simulated time.
const step = 10 * time.Millisecond

// draw returns a number below n; the label names it in the output of a failed test.
type draw func(label string, n int) int

// fleet simulates a region with a fake clock, network and platform.
type fleet struct {
	draw     draw
	disabled disabledRules
	now      time.Duration
	nodes    []*node
	// events are the functions to call, by the simulated time of the call.
	events map[time.Duration][]func()
	// object is the epoch in the object on the platform, and revision the revision of that object.
	object       *wire.Epoch
	revision     uint64
	platformDown bool
	// loss is the percentage of datagrams that are lost and delay the longest delay of a datagram. cut lists the pairs of
	// nodes, sender first, whose datagrams don't arrive.
	loss  int
	delay time.Duration
	cut   map[[2]int]bool
	// writes is the number of writes of the object.
	writes int
}

// node simulates a VM with its control process and its entry process.
type node struct {
	fleet *fleet
	index int
	// rate is the speed of its clock in thousandths of the simulated time.
	rate    int
	control *core
	// controlRun and entryRun count the starts of the two processes.
	controlRun  int
	self        *wire.Member
	revision    uint64
	objectEpoch *wire.Epoch
	lastState   State
	// view is the state that the entry uses. It stays when the control process ends.
	view          State
	entryRun      int
	entryUp       bool
	controlPaused bool
	// unlinked is set while the two processes are not connected.
	unlinked bool
	// entryPaused is set while the entry process is paused. It still counts as using its view.
	entryPaused bool
	// version is the configuration version that the entry uses.
	version ident.Version
	// platformUnreachable is set while this node can't reach the platform.
	platformUnreachable bool
	// lastViewAt is the time at which the last view that was sent arrives at the entry.
	lastViewAt time.Duration
	// controlDeferred is what the control process does once it resumes.
	controlDeferred []func()
	// entryDeferred is what the entry does once it resumes.
	entryDeferred []func()
}

func newFleet(p draw, size, centres int, f disabledRules) *fleet {
	l := &fleet{draw: p, disabled: f, object: &wire.Epoch{}, cut: map[[2]int]bool{}, delay: step,
		events: map[time.Duration][]func(){},
	}
	for i := range size {
		n := &node{fleet: l, index: i, rate: 990 + p("rate", 21), entryUp: true}
		n.view.Epoch = &wire.Epoch{}
		n.self = &wire.Member{
			Vm: fmt.Sprint("vm", i), DataCentre: fmt.Sprint("dc", i%centres), WitnessAddress: fmt.Sprint(i),
		}
		l.nodes = append(l.nodes, n)
		n.startControl()
	}
	return l
}

func (n *node) clock() clock.Instant {
	return clock.Instant(time.Hour + time.Duration(n.index)*time.Minute + n.fleet.now*time.Duration(n.rate)/1000)
}

func (n *node) startControl() {
	n.controlRun++
	n.controlPaused, n.controlDeferred = false, nil
	n.control = newCore(n.clock())
	n.control.disabled = n.fleet.disabled
	n.revision, n.objectEpoch, n.lastState = 0, n.control.epoch, State{Epoch: &wire.Epoch{}}
	n.connectEntry()
}

// connectEntry connects the entry, if it runs, to the control process.
func (n *node) connectEntry() {
	if !n.entryUp || n.control == nil {
		return
	}
	n.unlinked = false
	n.self = proto.Clone(n.self).(*wire.Member)
	n.self.Id = fmt.Sprintf("%s.%d.%d", n.self.GetVm(), n.controlRun, n.entryRun)
	n.control.start(n.self)
}

func (n *node) startEntry() {
	n.entryRun++
	n.entryUp = true
	n.entryPaused, n.entryDeferred = false, nil
	n.view = State{Epoch: &wire.Epoch{}}
	n.connectEntry()
}

func (n *node) killControl() { n.control, n.controlDeferred, n.controlPaused = nil, nil, false }

func (n *node) killEntry() {
	n.entryUp = false
	n.unlink()
}

// unlink ends the connection between the processes. A running entry keeps its view.
func (n *node) unlink() {
	n.unlinked = true
	controlRun, entryRun := n.controlRun, n.entryRun
	n.fleet.after(25, func() {
		if n.controlRun == controlRun && n.entryRun == entryRun && n.unlinked {
			n.runControl(n.control.detach)
		}
	})
}

// runControl calls f in the control process now, or after its pause.
func (n *node) runControl(f func()) {
	if n.controlPaused {
		n.controlDeferred = append(n.controlDeferred, f)
		return
	}
	if n.control != nil {
		f()
		n.sendState()
	}
}

func (n *node) resumeControl() {
	h := n.controlDeferred
	n.controlPaused, n.controlDeferred = false, nil
	for _, f := range h {
		n.runControl(f)
	}
}

// sendState sends a changed state to the entry, which reports the epoch back.
func (n *node) sendState() {
	s := n.control.state(n.clock())
	if sameState(s, n.lastState) {
		return
	}
	n.lastState = s
	controlRun, entryRun := n.controlRun, n.entryRun
	// The connection keeps the order of its messages.
	n.lastViewAt = max(n.lastViewAt, n.fleet.now+time.Duration(n.fleet.draw("link", 3))*step)
	n.fleet.after(int((n.lastViewAt-n.fleet.now)/step), func() { n.applyState(s, controlRun, entryRun) })
}

// applyState makes the entry use a state, after its pause if it is paused, and report that.
func (n *node) applyState(s State, controlRun, entryRun int) {
	if n.entryPaused {
		n.entryDeferred = append(n.entryDeferred, func() { n.applyState(s, controlRun, entryRun) })
		return
	}
	if !n.entryUp || n.unlinked || n.entryRun != entryRun || n.controlRun != controlRun {
		return
	}
	n.view = s
	n.fleet.after(n.fleet.draw("status", 3), func() {
		if n.controlRun == controlRun && n.entryRun == entryRun {
			n.runControl(func() { n.send(n.control.noteApplied(n.clock(), s.Epoch.GetNumber(), n.version)) })
		}
	})
}

func (n *node) resumeEntry() {
	l := n.entryDeferred
	n.entryPaused, n.entryDeferred = false, nil
	for _, f := range l {
		f()
	}
}

func (f *fleet) after(steps int, do func()) {
	at := f.now + time.Duration(max(steps, 1))*step
	f.events[at] = append(f.events[at], do)
}

// send passes datagrams to the network, which loses, duplicates, delays and so reorders them.
func (n *node) send(l []packet) {
	f := n.fleet
	for _, p := range l {
		copies := 1
		if f.loss > 0 {
			copies = 1 + f.draw("copies", 2)
		}
		for range copies {
			if f.loss > 0 && f.draw("loss", 100) < f.loss {
				continue
			}
			f.after(f.draw("delay", int(f.delay/step)+1), func() { f.deliver(n.index, p) })
		}
	}
}

// nodeIndex returns the index of the node at an address.
func nodeIndex(a ident.Address) int {
	i, _ := strconv.Atoi(string(a))
	return i
}

func (f *fleet) deliver(from int, p packet) {
	to := nodeIndex(p.to)
	if f.cut[[2]int{from, to}] {
		return
	}
	n := f.nodes[to]
	n.runControl(func() {
		if g := f.nodes[from].control; g != nil && p.frame.GetEpoch() > n.control.epoch.GetNumber() {
			e := g.epoch
			f.after(1, func() { n.runControl(func() { n.control.adopt(n.clock(), e) }) })
		}
		n.send(n.control.receive(n.clock(), ident.Address(strconv.Itoa(from)), p.frame))
	})
}

// readObject adopts the current state of the object.
func (n *node) readObject() {
	f := n.fleet
	if f.platformDown || n.platformUnreachable || f.revision == n.revision {
		return
	}
	n.revision, n.objectEpoch = f.revision, f.object
	n.control.adopt(n.clock(), f.object)
}

// propose writes to the object. The write may arrive late or not at all, and its response is always lost.
func (n *node) propose() {
	f := n.fleet
	if n.objectEpoch != n.control.epoch {
		return
	}
	e := n.control.propose(n.clock(), time.Unix(0, 0).Add(f.now))
	if e == nil || f.platformDown || n.platformUnreachable {
		return
	}
	r := n.revision
	f.after(f.draw("put", 20), func() {
		if !f.platformDown && f.revision == r {
			f.object, f.revision = e, r+1
			f.writes++
		}
	})
}

// advance advances the simulated time and checks the oracle at each step.
func (f *fleet) advance(d time.Duration) error {
	for end := f.now + d; f.now < end; {
		f.now += step
		for _, do := range f.events[f.now] {
			do()
		}
		delete(f.events, f.now)
		for _, n := range f.nodes {
			if (int(f.now/step)+n.index)%int(tickInterval/step) == 0 && !n.controlPaused {
				n.runControl(func() {
					if f.draw("watch", 3) == 0 {
						n.readObject()
					}
					n.send(n.control.tick(n.clock()))
					n.propose()
				})
			}
		}
		if err := f.checkOneOwner(); err != nil {
			return err
		}
	}
	return nil
}

// shards are the shards whose owners are compared.
var shards = func() []shard.Shard {
	var r []shard.Shard
	for i := range 12 {
		d := ident.DataCentre(fmt.Sprint("dc", i%3))
		r = append(r, shard.Shard{ID: ident.Shard(fmt.Sprint("s", i)), DataCentre: d})
	}
	return r
}()

// checkOneOwner is the oracle: it fails if two entries may dispatch a shard at the same instant, by the rule that
// dispatch uses.
func (f *fleet) checkOneOwner() error {
	for _, s := range shards {
		if l := f.owners(s); len(l) > 1 {
			return fmt.Errorf("at %s shard %s is dispatched by nodes %v", f.now, s.ID, l)
		}
	}
	return nil
}

func (f *fleet) owners(s shard.Shard) []int {
	var r []int
	for _, n := range f.nodes {
		if n.mayDispatch(s) {
			r = append(r, n.index)
		}
	}
	return r
}

func (n *node) mayDispatch(s shard.Shard) bool {
	v := &view.View{
		Self: n.view.Self, Epoch: n.view.Epoch, LeaseUntil: n.view.LeaseUntil, Deputies: map[ident.Member]view.Deputy{},
	}
	for _, d := range n.view.Deputies {
		for _, m := range v.Epoch.GetMembers() {
			if m.GetId() == string(d.By) {
				v.Deputies[d.Of] = view.Deputy{Member: m, LeaseUntil: d.LeaseUntil}
			}
		}
	}
	m, ok := shard.Owner(s.ID, s.DataCentre, v.Epoch.GetMembers())
	return ok && n.entryUp && v.LeaseEndFor(m) > n.clock() && shard.DispatcherOf(m, v).GetId() == string(v.Self) &&
		shard.Ready(s.ID, s.DataCentre, v)
}

// servedCount returns the number of shards that some entry may dispatch.
func (f *fleet) servedCount() int {
	r := 0
	for _, s := range shards {
		r += len(f.owners(s))
	}
	return r
}
