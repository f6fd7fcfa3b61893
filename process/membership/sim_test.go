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

// step is the grain of the simulated time.
const step = 10 * time.Millisecond

// pick returns a number below n.
type draw func(label string, n int) int

// fleet is a region on a fake clock, network and platform.
type fleet struct {
	draw     draw
	disabled disabledRules
	now      time.Duration
	nodes    []*node
	// events are what happens, by step.
	events map[time.Duration][]func()
	object *wire.Epoch
	// revision counts the writes of the object.
	revision     uint64
	platformDown bool
	// loss is in percent, delay the longest delay of a datagram; cut lists pairs that don't reach each other.
	loss   int
	delay  time.Duration
	cut    map[[2]int]bool
	writes int
}

// node is a VM with its control and its entry process.
type node struct {
	fleet *fleet
	index int
	// rate is the speed of its clock in thousandths.
	rate        int
	control     *core
	controlRun  int
	self        *wire.Member
	revision    uint64
	objectEpoch *wire.Epoch
	lastState   State
	// view is what the entry uses, which goes on when the control process ends.
	view          State
	entryRun      int
	entryUp       bool
	controlPaused bool
	// unlinked tells that the two processes are not connected.
	unlinked bool
	// frozen tells that the entry process is paused; it goes on with its view.
	entryPaused bool
	// version is the configuration that the entry has in force.
	version ident.Version
	// blind tells that it can't reach the platform.
	platformUnreachable bool
	// link is when the last view arrives at the entry.
	lastViewAt      time.Duration
	controlDeferred []func()
	// thawed is what the entry does once it goes on.
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

// hello connects the entry, if there is one, to the control process.
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

// unlink ends the link between the processes; the entry, when it lives, keeps its view.
func (n *node) unlink() {
	n.unlinked = true
	life, entry := n.controlRun, n.entryRun
	n.fleet.after(25, func() {
		if n.controlRun == life && n.entryRun == entry && n.unlinked {
			n.runControl(n.control.detach)
		}
	})
}

// run lets the control process do something now, or after its pause.
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

// push sends a changed state to the entry, which reports the epoch back.
func (n *node) sendState() {
	s := n.control.state(n.clock())
	if sameState(s, n.lastState) {
		return
	}
	n.lastState = s
	life, entry := n.controlRun, n.entryRun
	// The link keeps the order of its messages.
	n.lastViewAt = max(n.lastViewAt, n.fleet.now+time.Duration(n.fleet.draw("link", 3))*step)
	n.fleet.after(int((n.lastViewAt-n.fleet.now)/step), func() { n.applyState(s, life, entry) })
}

// take lets the entry use a state, once it is not paused any more, and report that.
func (n *node) applyState(s State, life, entry int) {
	if n.entryPaused {
		n.entryDeferred = append(n.entryDeferred, func() { n.applyState(s, life, entry) })
		return
	}
	if !n.entryUp || n.unlinked || n.entryRun != entry || n.controlRun != life {
		return
	}
	n.view = s
	n.fleet.after(n.fleet.draw("status", 3), func() {
		if n.controlRun == life && n.entryRun == entry {
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

// send hands datagrams to the network, which loses, doubles, delays and so reorders them.
func (n *node) send(l []packet) {
	f := n.fleet
	for _, p := range l {
		copies := 1
		if f.loss > 0 {
			copies = 1 + f.draw("double", 2)
		}
		for range copies {
			if f.loss > 0 && f.draw("loss", 100) < f.loss {
				continue
			}
			f.after(f.draw("delay", int(f.delay/step)+1), func() { f.deliver(n.index, p) })
		}
	}
}

// at returns the index of the node at an address.
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

// read takes the object as it is now.
func (n *node) readObject() {
	f := n.fleet
	if f.platformDown || n.platformUnreachable || f.revision == n.revision {
		return
	}
	n.revision, n.objectEpoch = f.revision, f.object
	n.control.adopt(n.clock(), f.object)
}

// propose writes to the object; the write may arrive late, or not at all, and its answer is always lost.
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

// advance lets time pass and checks the oracle at each step.
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

// judge fails when two entries may dispatch a shard at the same instant, as dispatch decides it.
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
	return ok && n.entryUp && v.LeaseOf(m) > n.clock() && shard.DispatcherOf(m, v).GetId() == string(v.Self) &&
		shard.Ready(s.ID, s.DataCentre, v)
}

// served counts the shards that some entry may dispatch.
func (f *fleet) servedCount() int {
	r := 0
	for _, s := range shards {
		r += len(f.owners(s))
	}
	return r
}
