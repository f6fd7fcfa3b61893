package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/listener"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/ring"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

const (
	// desiredReaders is how many members read the store in normal operation, so that one may fail at any time.
	desiredReaders = 2
	// digestInterval is the interval between the digests of a reader while nothing changes.
	digestInterval = 300 * time.Millisecond
	// readerTimeout is how long a reader counts as active after its last digest; single datagrams get lost.
	readerTimeout = time.Second
	// staleAfter is how long after the store last confirmed its copy a member starts to read the store itself. It
	// leaves enough time to read within the 2 s in which a change has to be in force everywhere.
	staleAfter = 1200 * time.Millisecond
	// rankDelaySpan is the span over which members that hear from no reader start to read, one after the other by rank.
	// The delay grows with the logarithm of the rank: the first few start far enough apart to hear from each other.
	rankDelaySpan = 600 * time.Millisecond
	// initialReadDelay delays a member that has just started and may not read at once, in addition to its delay by
	// rank. In a fleet that existed before, the members of ranks 0 and 1 start to read at once; the delay gives the
	// others time to hear from them.
	initialReadDelay = 600 * time.Millisecond
	// outageReaders is how many members check the store themselves while readers are active but get no answer from the
	// store, to find out whether it fails for all VMs. If the store rejects a third of the VMs, all 16 are among
	// these in less than one case in ten million.
	outageReaders = 16
	// outageStep is the delay before the next outageReaders members check the store themselves.
	outageStep = 2 * time.Second
	// relayQueueSize is how many datagrams may wait to be passed on; beyond it the oldest are dropped.
	relayQueueSize = 16
	// fetchGrace is how long a member has for fetching a change that it knows of, before it reads the store itself.
	fetchGrace = 700 * time.Millisecond
	// startStep is the delay before the next outageReaders members begin to read after a start of the whole fleet, up to
	// maxStartDelay.
	startStep     = time.Second
	maxStartDelay = 8 * time.Second
	// firstStartDelaySpan replaces rankDelaySpan when a fleet starts for the first time and no member knows another:
	// the members start to read at delays spread over this span.
	firstStartDelaySpan = 3 * time.Second
	// registrationDelay is how long all members wait at a first start before firstStartDelaySpan begins. It gives
	// them time to register, so that a reader knows all members that it has to send to.
	registrationDelay = 500 * time.Millisecond
	// lowCapacityDelay is the additional delay at a first start for members of the lowest capacity class; each higher
	// class waits half of the one below. Sending the content of the store to all others takes seconds on a slow link.
	lowCapacityDelay = 1500 * time.Millisecond
	// restartGrace replaces staleAfter for a member that starts in a fleet that existed before: it waits longer for a
	// reader, since it isn't ready yet and all members may have started at once. firstStartGrace replaces it when a
	// fleet starts for the first time. It may be longer because the VMs of a new fleet are started 8 s before the
	// first callers send requests.
	restartGrace    = 4 * time.Second
	firstStartGrace = 6 * time.Second
	// minReaderTime is the shortest time for which a member stays a reader once it reads the store, so that readers
	// don't change often.
	minReaderTime = 3 * time.Second
	// checkInterval is how often a member checks whether it should read the store.
	checkInterval = 50 * time.Millisecond
)

// readerState holds what is known of a reader from its last digest.
type readerState struct {
	receivedAt clock.Instant
	// confirmedAt is when the store last confirmed the reader's copy.
	confirmedAt clock.Instant
	// takesLoads is whether the reader sends the loads of targets with its digests, so that it takes reports of them.
	// Members of older builds take none, and log each as a datagram that they can't read.
	takesLoads bool
}

// Fleet is this VM's membership in the fleet: it reads the store for the others or follows their updates. It is safe
// for concurrent use.
type Fleet struct {
	self            roster.Member
	linkMbps        float64
	warmupRateBound WarmupRateBound
	catalog         *catalog.Catalog
	follower        *catalog.Follower
	source          catalog.Source
	clock           clock.Clock
	log             zerolog.Logger
	// handleQuarantine gets the messages on requests that crash targets.
	handleQuarantine func(*wire.QuarantineNews, ident.Address)
	// handleReach gets the messages on partitions from targets.
	handleReach func(*wire.ReachNews, ident.Address)
	// handleAllowance gets the messages on the allowances of teams, and handleRollout those on roll-outs.
	handleAllowance func(*wire.AllowanceMessage, ident.Address)
	handleRollout   func(*wire.RolloutMessage, ident.Address)
	// loads exchanges the loads of targets.
	loads Loads
	// keepers keeps the allowances of teams on this VM, or is nil; handover is how long a VM waits before it keeps in the
	// place of another.
	keepers  Keepers
	handover time.Duration

	// fetchCount counts successful fetches of updates.
	fetchCount atomic.Uint64
	// updates caches encoded full listings, which many members fetch, and answers bounds the answers to fetches that are
	// in memory.
	updates updateCache
	answers chan struct{}
	// fetchQueue holds the readers from which changes have to be fetched.
	fetchQueue *ring.Ring[pendingFetch]
	// relayQueue holds the digests that this VM has to pass on.
	relayQueue *ring.Ring[*wire.Digest]
	// servedCount counts the fetches that this VM has answered.
	servedCount atomic.Uint64

	mu      sync.Mutex
	conn    *net.UDPConn
	readers map[ident.VM]readerState
	// presence is what is known of which members run.
	presence presence
	// statements is what members have said of the list of keepers.
	statements statements
	// pushState holds the revisions up to which updates have been sent to the members.
	pushState pushState
	// heard holds the latest digests of readers, oldest first.
	heard []pendingFetch
	// order is the order of the members that were known last, or nil.
	order *topology
	// sent counts the digests that this VM has sent to all members.
	sent int
	// confirmedAt is when the store last confirmed this VM's copy through a reader: the time of the store's answer to
	// the reader, from the last digest that listed no change which this VM lacked.
	confirmedAt clock.Instant
	// rolloutsConfirmedAt is the same for digests that cover the orders of roll-outs.
	rolloutsConfirmedAt clock.Instant
	// shortageSince is when the number of active readers fell below desiredReaders; zero while there are enough.
	shortageSince clock.Instant
	// behindSince is when this VM first heard of a change that it still lacks; zero if it lacks none.
	behindSince clock.Instant
	// readingSince is when this VM last started to read the store.
	readingSince clock.Instant
	// extraHeardAt is when a reader's digest last covered each kind beyond listedKinds.
	extraHeardAt [catalog.KindCount]clock.Instant
	// firstStart is true if the whole system starts for the first time, so that there is nothing to know of other members.
	firstStart bool
	// existingFleet is true if the fleet had several members before this VM started.
	existingFleet bool
}

// New returns the membership of m in its fleet. linkMbps is the network bandwidth of the VM; zero means no limit.
// firstStart means that the whole system starts for the first time.
func New(m roster.Member, linkMbps float64, firstStart bool, b WarmupRateBound, g *catalog.Catalog, f *catalog.Follower,
	s catalog.Source, c clock.Clock, l zerolog.Logger,
) *Fleet {
	return &Fleet{
		self: m, linkMbps: linkMbps, firstStart: firstStart, warmupRateBound: b, catalog: g, follower: f, source: s,
		clock: c, log: l, handleQuarantine: func(*wire.QuarantineNews, ident.Address) {},
		handleReach:     func(*wire.ReachNews, ident.Address) {},
		handleAllowance: func(*wire.AllowanceMessage, ident.Address) {},
		handleRollout:   func(*wire.RolloutMessage, ident.Address) {},
		loads:           noLoads{},
		answers:         make(chan struct{}, maxAnswers),
		fetchQueue:      ring.New[pendingFetch](1), relayQueue: ring.New[*wire.Digest](relayQueueSize),
		readers: map[ident.VM]readerState{}, presence: newPresence(),
		statements: newStatements(rand.Uint64()),
	}
}

// Run takes part in the fleet until the context is cancelled; it fails if it can't listen on the member's address.
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
	go f.receiveDigests(u)
	go f.serveFetches(ctx, listener.New(l, f.log))
	go f.fetchUpdates(ctx)
	go f.announce(ctx)
	go f.relayDigests(ctx)
	if len(f.catalog.Kinds()) > int(listedKinds) {
		go f.listUncovered(ctx)
	}
	if f.keepers != nil {
		go f.manageStandings(ctx)
	}
	f.manageReading(ctx)
	return errors.Join(u.Close(), l.Close())
}

// Members returns the number of known VMs in the fleet, at least one.
func (f *Fleet) Members() int {
	return max(len(f.catalog.Get().Members), 1)
}

// Share returns this VM's equal part of an allowance of the whole fleet. It is zero until the members are known.
func (f *Fleet) Share(allowance float64) float64 {
	if !f.catalog.Listed(catalog.Members) {
		return 0
	}
	return allowance / float64(f.Members())
}

// ServedCount returns how many fetches of other members this VM has answered.
func (f *Fleet) ServedCount() uint64 {
	return f.servedCount.Load()
}

// FetchCount returns how often this VM fetched updates from a reader, because it lost a datagram or had just started.
func (f *Fleet) FetchCount() uint64 {
	return f.fetchCount.Load()
}

// WarmupSenders returns how many members may start requests at a target in its cold start, or zero if this VM isn't one
// of them. The rate is the number of requests per second that the target can bear in its cold start.
func (f *Fleet) WarmupSenders(t ident.Target, rate float64) int {
	return warmupSenders(f.catalog.Get().Members, f.self.Name, t, rate, f.warmupRateBound)
}

// ConfirmedAt returns when the store last confirmed this VM's copy of its content, that is, when the copy was last
// known to be current, directly or through a reader; zero if it never was.
func (f *Fleet) ConfirmedAt() clock.Instant {
	_, own := f.follower.Reading()
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.confirmedAt, own)
}

// RolloutsConfirmedAt returns when the store last confirmed this VM's copy including the orders of roll-outs, which
// digests of members of older builds do not cover; zero if it never did.
func (f *Fleet) RolloutsConfirmedAt() clock.Instant {
	_, own := f.follower.Reading()
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.rolloutsConfirmedAt, own)
}

// manageReading lists the store and then checks regularly whether this VM has to read it for the fleet.
func (f *Fleet) manageReading(ctx context.Context) {
	started := f.clock.Now()
	f.readInitialState(ctx)
	go f.keepRegistered(ctx)
	for ctx.Err() == nil {
		f.startOrStopReading(ctx, started)
		clock.Sleep(ctx, checkInterval)
	}
}

// readInitialState lists the store, so that a VM that starts in a fleet that existed before can serve requests at once
// and knows its rank. It accepts stale answers, which have a lower price. At the first start of a fleet no caller waits
// and there are no members yet, so that the content comes from the first readers.
func (f *Fleet) readInitialState(ctx context.Context) {
	if f.firstStart {
		return
	}
	for _, k := range f.catalog.Kinds() {
		if _, err := f.follower.List(ctx, k, catalog.Stale); err != nil {
			f.log.Warn().Str("Kind", k.String()).Err(err).Msg("could not read the store at startup")
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.existingFleet = len(f.catalog.Get().Members) > 1
}
