package membership

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/lease"
	"github.com/amaranthramp/amaranthramp/process/platform"
	"github.com/amaranthramp/amaranthramp/process/ring"
	"github.com/amaranthramp/amaranthramp/wire"
)

// maxFrame is the largest datagram that is read.
const maxDatagram = 2048

// State is what the entry process has to know at one moment.
type State struct {
	// Self is the member that the lease is for; it is empty before the first entry process connected.
	Self ident.Member
	// Epoch is the one to use; its Earlier lists only what can still be valid.
	Epoch *wire.Epoch
	// Newest is the number of the newest epoch known.
	Newest ident.Epoch
	// LeaseUntil is when the lease under Epoch ends on this machine's clock; zero means no lease.
	LeaseUntil clock.Instant
	// Deputies are the members that hold the leases of silent ones, ordered by these.
	Deputies []Deputy
}

// Deputy is a member that holds the lease of a silent one.
type Deputy struct {
	Of, By ident.Member
	// LeaseUntil is when the lease ends if this member holds it; else zero.
	LeaseUntil clock.Instant
}

// Heard is called for each datagram with its sender and the newest configuration that the sender knows.
type DatagramHandler func(from *wire.Member, v ident.Version)

// Membership joins this VM to the epoch, keeps its lease and witnesses others'; it is safe for concurrent use.
type Membership struct {
	region ident.Region
	listen ident.Address
	// key authenticates datagrams; without one they are read from anybody.
	key        []byte
	store      platform.Store
	clock      clock.Clock
	log        zerolog.Logger
	onDatagram DatagramHandler
	// changed gets an item whenever the state changed, fetch the members that know a newer epoch, and write the
	// epochs that this member wants to write.
	changed   *ring.Ring[struct{}]
	fetchFrom *ring.Ring[*wire.Member]
	updates   *ring.Ring[update]

	mu   sync.Mutex
	core *core
	conn net.PacketConn
	// shown is the state that was last announced on changed.
	lastState State
	// base is the newest epoch that was read from the platform, with the revision of its object.
	objectEpoch *wire.Epoch
	revision    platform.Revision
	updateCount uint64
}

// New returns the membership of one control process, which binds the address for datagrams when it runs.
func New(
	r ident.Region, listen ident.Address, key []byte, s platform.Store, c clock.Clock, l zerolog.Logger, h DatagramHandler,
) *Membership {
	k := newCore(c.Now())
	return &Membership{
		region: r, listen: listen, key: key, store: s, clock: c, log: l, onDatagram: h,
		changed: ring.New[struct{}](1), fetchFrom: ring.New[*wire.Member](1), updates: ring.New[update](1),
		core: k, objectEpoch: k.epoch, lastState: State{Epoch: &wire.Epoch{}},
	}
}

// State returns the epoch and the lease.
func (m *Membership) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.state(m.clock.Now())
}

// Changed gets an item whenever the state changed.
func (m *Membership) Changed() <-chan struct{} {
	return m.changed.Out()
}

// Start joins as a new member in place of the one that this process was before.
func (m *Membership) Start(self *wire.Member) {
	m.apply(func(clock.Instant) []packet {
		m.core.start(self)
		return nil
	})
	m.changed.Replace(struct{}{})
}

// Leave takes this member out of the epoch for a planned stop.
func (m *Membership) Leave() {
	m.apply(func(clock.Instant) []packet {
		m.core.leave()
		return nil
	})
}

// Detach stops the lease of a member whose entry process is not connected any more and takes it out of the epoch.
func (m *Membership) Detach(self ident.Member) {
	m.apply(func(clock.Instant) []packet {
		if m.core.self.GetId() == string(self) {
			m.core.detach()
		}
		return nil
	})
}

// Left tells whether this member is out of the epoch, its entry uses that epoch, and its tenures are over.
func (m *Membership) Left() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.hasLeft()
}

// InForce notes which epoch and configuration the entry process uses.
func (m *Membership) InForce(self ident.Member, e ident.Epoch, v ident.Version) {
	m.apply(func(now clock.Instant) []packet {
		if m.core.self.GetId() != string(self) {
			return nil
		}
		return m.core.noteApplied(now, uint64(e), v)
	})
}

// Learn notes the newest configuration that this process knows.
func (m *Membership) Learn(v ident.Version) {
	m.apply(func(now clock.Instant) []packet {
		m.core.learnVersion(now, v)
		return nil
	})
}

// Run takes part until the context ends; it fails when the address for datagrams can't be bound.
//
// The address must be bound by one process at a time: a successor answers for the grants of this one.
func (m *Membership) Run(ctx context.Context) error {
	c, err := net.ListenPacket("udp", string(m.listen))
	if err != nil {
		return fmt.Errorf("listen for datagrams: %w", err)
	}
	m.mu.Lock()
	m.conn = c
	m.mu.Unlock()
	var g sync.WaitGroup
	g.Go(func() { m.readDatagrams(c) })
	g.Go(func() { m.watch(ctx) })
	g.Go(func() { m.fetchEpochs(ctx) })
	g.Go(func() { m.writeUpdates(ctx) })
	g.Go(func() { m.runTicks(ctx) })
	<-ctx.Done()
	_ = c.Close()
	g.Wait()
	return nil
}

func (m *Membership) runTicks(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			m.apply(m.core.tick)
			m.propose()
		}
	}
}

// read takes datagrams; what can't be read is dropped.
func (m *Membership) readDatagrams(c net.PacketConn) {
	b := make([]byte, maxDatagram)
	for {
		n, a, err := c.ReadFrom(b)
		if err != nil {
			return
		}
		m.handleDatagram(ident.Address(a.String()), b[:n])
	}
}

func (m *Membership) handleDatagram(from ident.Address, b []byte) {
	f := &wire.Frame{}
	if c, ok := checkTag(m.key, b); ok && proto.Unmarshal(c, f) == nil {
		m.handleFrame(from, f)
	}
}

func (m *Membership) handleFrame(from ident.Address, f *wire.Frame) {
	var sender *wire.Member
	newer := false
	m.apply(func(now clock.Instant) []packet {
		sender = m.core.members[lease.Key(f.GetSender())]
		newer = f.GetEpoch() > m.core.epoch.GetNumber()
		return m.core.receive(now, from, f)
	})
	if sender == nil {
		return
	}
	if newer {
		m.fetchFrom.Offer(sender)
	}
	if m.onDatagram != nil {
		m.onDatagram(sender, ident.Version(f.GetVersion()))
	}
}

// do lets the core decide, sends what it wants to send, and announces a changed state.
func (m *Membership) apply(f func(clock.Instant) []packet) {
	m.mu.Lock()
	now := m.clock.Now()
	l := f(now)
	s := m.core.state(now)
	changed := !sameState(s, m.lastState)
	before := m.lastState
	m.lastState = s
	c := m.conn
	m.mu.Unlock()
	m.logDeputies(before, s)
	if changed {
		m.changed.Replace(struct{}{})
	}
	for _, p := range l {
		m.send(c, p)
	}
}

// logDeputies logs which leases of silent members this one got and let go.
func (m *Membership) logDeputies(before, after State) {
	for _, d := range after.Deputies {
		if d.LeaseUntil != 0 && !before.isDeputyOf(d.Of) {
			m.log.Warn().Str("Of", string(d.Of)).Uint64("Epoch", after.Epoch.GetNumber()).Msg("deputy of a silent member")
		}
	}
	for _, d := range before.Deputies {
		if d.LeaseUntil != 0 && !after.isDeputyOf(d.Of) {
			m.log.Info().Str("Of", string(d.Of)).Uint64("Epoch", after.Epoch.GetNumber()).Msg("deputy no more")
		}
	}
}

// deputises tells whether this member holds the lease of a silent one.
func (s *State) isDeputyOf(of ident.Member) bool {
	return slices.ContainsFunc(s.Deputies, func(d Deputy) bool { return d.Of == of && d.LeaseUntil != 0 })
}

func (m *Membership) send(c net.PacketConn, p packet) {
	a, err := net.ResolveUDPAddr("udp", string(p.to))
	if err != nil || c == nil {
		return
	}
	b, err := proto.Marshal(p.frame)
	if err != nil {
		return
	}
	// A datagram that can't be sent is like a lost one: it is sent again later.
	_, _ = c.WriteTo(appendTag(m.key, b), a)
}

func sameState(a, b State) bool {
	return a.Self == b.Self && a.LeaseUntil == b.LeaseUntil && a.Epoch.GetNumber() == b.Epoch.GetNumber() &&
		listedOpenCount(a.Epoch) == listedOpenCount(b.Epoch) && slices.Equal(a.Deputies, b.Deputies)
}
