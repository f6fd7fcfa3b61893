package fleet

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/ring"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

const (
	// readers is how many members read the store while all is well: one may be lost at any time.
	readers = 2
	// digestEvery is the pause between two digests of a reader without news.
	digestEvery = 300 * time.Millisecond
	// heardFor is how long a reader counts as there after its last digest; datagrams are lost now and then.
	heardFor = time.Second
	// staleAfter is how long after the last confirmation of the store a member reads for itself. It leaves time to read
	// within the 2 s in which a change is to be in force.
	staleAfter = 1200 * time.Millisecond
	// turns is the span over which the members that hear nothing begin to read, one after the other.
	turns = 600 * time.Millisecond
	// knownTurn comes before the turns of members that start again in a fleet that knows itself: time for the first two to
	// read.
	knownTurn = 600 * time.Millisecond
	// outageReaders is how many members find out whether the store is away for all, while readers are heard that get no
	// answer. If it turns away a third of the VMs, these are all of the 16 in less than one case in ten million.
	outageReaders = 16
	// outageTurn is the pause before as many more look for themselves.
	outageTurn = 2 * time.Second
	// behindGrace is added to staleAfter for a member that hears of news and is fetching it.
	behindGrace = 300 * time.Millisecond
	// firstTurns is the same for a fleet that starts for the first time, when nobody knows anybody.
	firstTurns = 3 * time.Second
	// firstPause comes before the first of these turns: time to register, so that a reader knows whom to tell.
	firstPause = 500 * time.Millisecond
	// weakPause is what the weakest members wait longer, and half of it for each class above: telling all others what
	// the store holds takes a small link seconds.
	weakPause = 1500 * time.Millisecond
	// startGrace is how long a member that starts again waits for a reader instead of staleAfter: it isn't ready yet, and
	// all may have started at once. firstGrace is the same for a fleet that starts for the first time, 8 s before callers
	// come.
	startGrace = 4 * time.Second
	firstGrace = 6 * time.Second
	// minReading is how long a member reads at least once it has begun, so that readers don't change all the time.
	minReading = 3 * time.Second
	// tick is how often a member looks whether it should read.
	tick = 50 * time.Millisecond
	// registerPause is the pause after a failed registration.
	registerPause = time.Second
)

// heard is the last digest of a reader.
type heard struct {
	at clock.Instant
	// confirmed is when the store confirmed to the reader what it tells.
	confirmed clock.Instant
}

// Fleet is this VM's part in reading the store; it is safe for concurrent use.
type Fleet struct {
	self     roster.Member
	linkMbps float64
	cold     ColdBound
	catalog  *catalog.Catalog
	follower *catalog.Follower
	source   catalog.Source
	clock    clock.Clock
	log      zerolog.Logger

	// fetched counts the news that were fetched.
	fetched atomic.Uint64
	// packed holds listings that many members ask for.
	packed packed
	// fetch holds the readers that have news.
	fetch *ring.Ring[offer]

	mu    sync.Mutex
	conn  *net.UDPConn
	heard map[ident.VM]heard
	// pusher is up to where the members were sent the news.
	pusher pusher
	// confirmed is when the store last confirmed what this VM knows, directly or through a reader.
	confirmed clock.Instant
	// short is since when fewer readers were heard than there should be; zero while there are enough.
	short clock.Instant
	// since is when this VM began to read.
	since clock.Instant
	// known tells that the fleet had members before this VM started.
	known bool
}

// New returns the part of a member in a fleet; linkMbps is the rate of its network, zero without a limit.
func New(m roster.Member, linkMbps float64, b ColdBound, g *catalog.Catalog, f *catalog.Follower, s catalog.Source,
	c clock.Clock, l zerolog.Logger,
) *Fleet {
	return &Fleet{
		self: m, linkMbps: linkMbps, cold: b, catalog: g, follower: f, source: s, clock: c, log: l, fetch: ring.New[offer](4),
		heard: map[ident.VM]heard{},
	}
}

// Run takes part in the fleet until the context ends; it fails when the address can't be listened on.
func (f *Fleet) Run(ctx context.Context) error {
	a, err := net.ResolveUDPAddr("udp", string(f.self.Address))
	if err != nil {
		return err
	}
	u, err := net.ListenUDP("udp", a)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.conn = u
	f.mu.Unlock()
	l, err := net.Listen("tcp", string(f.self.Address))
	if err != nil {
		return errors.Join(err, u.Close())
	}
	go f.receive(u)
	go f.serve(ctx, l)
	go f.fetchNews(ctx)
	go f.announce(ctx)
	f.mind(ctx)
	return errors.Join(u.Close(), l.Close())
}

// Members returns how many VMs there are, as far as is known.
func (f *Fleet) Members() int {
	return max(len(f.catalog.Get().Members), 1)
}

// Fetched returns how often this VM fetched news from a reader, as it had lost a datagram or had just started.
func (f *Fleet) Fetched() uint64 {
	return f.fetched.Load()
}

// Sponsors returns how many members share the starts at a cold target that bears the rate, or zero when this VM isn't
// one of them.
func (f *Fleet) Sponsors(t ident.Target, rate float64) int {
	return sponsorsOf(f.catalog.Get().Members, f.self.Name, t, rate, f.cold)
}

// Confirmed returns when the store last confirmed what this VM knows; zero if it never did.
func (f *Fleet) Confirmed() clock.Instant {
	_, own := f.follower.Reading()
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.confirmed, own)
}

// mind decides again and again whether this VM reads the store.
func (f *Fleet) mind(ctx context.Context) {
	started := f.clock.Now()
	f.prime(ctx)
	for ctx.Err() == nil {
		f.decide(ctx, started)
		clock.Sleep(ctx, tick)
	}
}

// prime reads what the store holds, at the low price of an answer that may be old, so that the members are known.
func (f *Fleet) prime(ctx context.Context) {
	for k := range catalog.Kinds {
		if _, err := f.follower.List(ctx, k, catalog.Stale); err != nil {
			f.log.Warn().Str("Kind", k.String()).Err(err).Msg("store not read at the start")
			break
		}
	}
	f.mu.Lock()
	f.known = len(f.catalog.Get().Members) > 1
	f.mu.Unlock()
	go f.register(ctx)
}

// register writes this VM's entry into the store, unless it stands there already.
func (f *Fleet) register(ctx context.Context) {
	for ctx.Err() == nil && !f.registered() {
		c, cancel := context.WithTimeout(ctx, registerPause)
		err := f.source.Register(c, f.self)
		cancel()
		if err == nil {
			f.log.Info().Msg("registered as a member")
			return
		}
		f.log.Warn().Err(err).Msg("not registered as a member yet")
		clock.Sleep(ctx, registerPause)
	}
}

func (f *Fleet) registered() bool {
	for _, m := range f.catalog.Get().Members {
		if m == f.self {
			return true
		}
	}
	return false
}
