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

	"github.com/amaranthramp/amaranthramp/connection/listener"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/lease"
	"github.com/amaranthramp/amaranthramp/process/platform"
	"github.com/amaranthramp/amaranthramp/process/ring"
	"github.com/amaranthramp/amaranthramp/wire"
)

// maxDatagram is the largest datagram in bytes that is read.
const maxDatagram = 2048

// State is what the entry process has to know at one moment.
type State struct {
	// Self is the member that the lease belongs to. It is empty until the first entry process connects.
	Self ident.Member
	// Epoch is the epoch to use. Its Earlier lists only tenures that can still hold a valid lease.
	Epoch *wire.Epoch
	// Newest is the number of the newest known epoch.
	Newest ident.Epoch
	// LeaseUntil is when the lease under Epoch expires on this VM's clock; zero means no lease.
	LeaseUntil clock.Instant
	// Deputies are the members that hold the leases of silent members, ordered by silent member.
	Deputies []Deputy
}

// Deputy says that member By holds the lease of the silent member Of.
type Deputy struct {
	Of, By ident.Member
	// LeaseUntil is when the lease expires if this member is the deputy, else zero.
	LeaseUntil clock.Instant
}

// DatagramHandler is called for each datagram with its sender and the newest configuration version that the sender
// knows.
type DatagramHandler func(from *wire.Member, v ident.Version)

// Membership joins this VM to the epoch, renews its lease and acts as a witness of other members. It is safe for
// concurrent use.
type Membership struct {
	region ident.Region
	listen ident.Address
	// key authenticates datagrams. Without a key, datagrams from any sender are accepted.
	key        []byte
	store      platform.Store
	clock      clock.Clock
	log        zerolog.Logger
	onDatagram DatagramHandler
	// changeNotice gets an item whenever the state has changed, newerEpochSources gets members that know a newer epoch,
	// and updates gets epochs to write to the platform.
	changeNotice      *ring.Ring[struct{}]
	newerEpochSources *ring.Ring[*wire.Member]
	updates           *ring.Ring[update]

	mu   sync.Mutex
	core *core
	conn net.PacketConn
	// lastState is the state that was last signalled on changed.
	lastState State
	// objectEpoch is the newest epoch that was read from the platform, and revision the revision of its object.
	objectEpoch *wire.Epoch
	revision    platform.Revision
	updateCount uint64
}

// New returns the membership of one control process. Run binds the listen address for datagrams.
func New(
	r ident.Region, listen ident.Address, key []byte, s platform.Store, c clock.Clock, l zerolog.Logger, h DatagramHandler,
) *Membership {
	k := newCore(c.Now())
	return &Membership{
		region: r, listen: listen, key: key, store: s, clock: c, log: l, onDatagram: h,
		changeNotice: ring.New[struct{}](1), newerEpochSources: ring.New[*wire.Member](1), updates: ring.New[update](1),
		core: k, objectEpoch: k.epoch, lastState: State{Epoch: &wire.Epoch{}},
	}
}

// State returns the current state for the entry process.
func (m *Membership) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.state(m.clock.Now())
}

// Changed returns a channel that gets an item whenever the state changed.
func (m *Membership) Changed() <-chan struct{} {
	return m.changeNotice.Out()
}

// Join enters the epoch as a new member, which replaces the one that this process was before.
func (m *Membership) Join(self *wire.Member) {
	m.apply(func(clock.Instant) []packet {
		m.core.start(self)
		return nil
	})
	m.changeNotice.Replace(struct{}{})
}

// Leave removes this member from the epoch for a planned stop.
func (m *Membership) Leave() {
	m.apply(func(clock.Instant) []packet {
		m.core.leave()
		return nil
	})
}

// Detach stops the lease renewals of a member whose entry process is no longer connected and removes it from the epoch.
func (m *Membership) Detach(self ident.Member) {
	m.apply(func(clock.Instant) []packet {
		if m.core.self.GetId() == string(self) {
			m.core.detach()
		}
		return nil
	})
}

// HasLeft reports whether this member has left: the newest epoch doesn't list it, its entry uses that epoch, and all
// its tenures are closed.
func (m *Membership) HasLeft() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.hasLeft()
}

// ReportApplied records the epoch and the configuration version that the entry process uses.
func (m *Membership) ReportApplied(self ident.Member, e ident.Epoch, v ident.Version) {
	m.apply(func(now clock.Instant) []packet {
		if m.core.self.GetId() != string(self) {
			return nil
		}
		return m.core.noteApplied(now, uint64(e), v)
	})
}

// LearnVersion records the newest configuration version that this process knows.
func (m *Membership) LearnVersion(v ident.Version) {
	m.apply(func(now clock.Instant) []packet {
		m.core.learnVersion(now, v)
		return nil
	})
}

// Run takes part in the membership until the context ends. It fails if the address for datagrams can't be bound.
//
// Only one process at a time may bind the address: a later process on the same address answers for the grants of this
// one.
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

// readDatagrams handles datagrams until the connection is closed. Datagrams that can't be decoded are dropped.
func (m *Membership) readDatagrams(c net.PacketConn) {
	listener.ReadDatagrams(c, maxDatagram, m.log, func(from net.Addr, b []byte) {
		m.handleDatagram(ident.Address(from.String()), b)
	})
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
		m.newerEpochSources.Offer(sender)
	}
	if m.onDatagram != nil {
		m.onDatagram(sender, ident.Version(f.GetVersion()))
	}
}

// apply runs f on the core, sends the frames that it returns, and signals a changed state.
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
		m.changeNotice.Replace(struct{}{})
	}
	for _, p := range l {
		m.send(c, p)
	}
}

// logDeputies logs the leases of silent members that this member acquired or no longer holds.
func (m *Membership) logDeputies(before, after State) {
	for _, d := range after.Deputies {
		if d.LeaseUntil != 0 && !before.isDeputyOf(d.Of) {
			m.log.Warn().Str("Of", string(d.Of)).Uint64("Epoch", after.Epoch.GetNumber()).
				Msg("acquired the lease of a silent member as its deputy")
		}
	}
	for _, d := range before.Deputies {
		if d.LeaseUntil != 0 && !after.isDeputyOf(d.Of) {
			m.log.Info().Str("Of", string(d.Of)).Uint64("Epoch", after.Epoch.GetNumber()).
				Msg("stopped acting as deputy of a silent member")
		}
	}
}

// isDeputyOf reports whether this member holds the lease of a silent member.
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
	// A datagram that can't be sent is treated like a lost one: the protocol sends it again later.
	_, _ = c.WriteTo(appendTag(m.key, b), a)
}

func sameState(a, b State) bool {
	return a.Self == b.Self && a.LeaseUntil == b.LeaseUntil && a.Epoch.GetNumber() == b.Epoch.GetNumber() &&
		countListedOpen(a.Epoch) == countListedOpen(b.Epoch) && slices.Equal(a.Deputies, b.Deputies)
}
