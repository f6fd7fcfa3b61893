package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// The timeouts, waits and intervals of calls to the store.
const (
	// listTimeout bounds one page of a listing; the store answers in milliseconds, or in a quarter of a second when
	// slow.
	listTimeout = time.Second
	// watchTimeoutMargin is added to the requested wait of a watch call to get the timeout of the call.
	watchTimeoutMargin = 700 * time.Millisecond
	// confirmInterval is the longest time between two answers to the configuration watch, the one watch that also shows
	// whether the store answers at all and up to which state the other kinds have to be read. Together with
	// watchTimeoutMargin it stays well within the 2 s in which a change has to take effect.
	confirmInterval = 800 * time.Millisecond
	// minWait is the wait of a watch that only has to return the present changes, and the shortest one of the
	// configuration watch. The latter applies when this VM has just begun to read, since the other members wait for the
	// store's first answer, which confirms that its data is current.
	minWait = time.Millisecond
	// watchWait is the wait of all other watches.
	watchWait = 20 * time.Second
	// batchDelay is the pause after a watch that returned changes, in which more changes accumulate for the next one;
	// it counts toward the 2 s in which a change takes effect.
	batchDelay = 400 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// minExpiryOutage is the shortest outage in which registrations of targets can expire: twice their heartbeat of
	// 1.5 s.
	minExpiryOutage = 3 * time.Second
	// reregisterGrace is how long targets have to register again after an outage; the platform promises about 2 s.
	reregisterGrace = 2200 * time.Millisecond
	// expiryCheckInterval is how often targets retained after an outage are checked.
	expiryCheckInterval = 200 * time.Millisecond
	// storeCheckInterval is how often watches that are suspended in an outage check whether the store answers again.
	storeCheckInterval = 20 * time.Millisecond
	// maxListingWait is how long the configuration watch waits for the listings of the other kinds.
	maxListingWait = 500 * time.Millisecond
)

// Follower copies the store into a catalog while this VM is one of the readers, with a goroutine for each kind.
type Follower struct {
	catalog *Catalog
	source  Source
	clock   clock.Clock
	log     zerolog.Logger

	mu sync.Mutex
	// cancel stops the goroutines that read the store; it is nil while this VM does not read.
	cancel context.CancelFunc
	// outageStart is when the store stopped answering; zero while it answers.
	outageStart         clock.Instant
	consecutiveFailures int
	// unreadable is whether no response for the kind has been read since one that could not be read to the end.
	unreadable [KindCount]bool
	// awaitingFirstAnswer is true until the store first answers a call for the configurations after Start.
	awaitingFirstAnswer bool
	// confirmedAt is when the store last gave an answer up to whose state every kind has been read: the catalog was
	// current then.
	confirmedAt clock.Instant
	// provenAt is when the call was sent whose answer showed the last state of the store up to which every kind has been
	// read, the members too. Unlike confirmedAt it is never too late, even if this process was paused meanwhile.
	provenAt clock.Instant
	// restarts holds for each kind the channel that is closed to cancel its calls under way, so that it is watched anew.
	restarts [KindCount]chan struct{}
	// listAgain is whether a kind has to be listed, since its changes can't be read.
	listAgain [KindCount]bool
	// newestEra is the latest era of the store that has been seen in an answer.
	newestEra ident.Era
}

// NewFollower returns a follower that has not been started.
func NewFollower(g *Catalog, s Source, c clock.Clock, l zerolog.Logger) *Follower {
	f := &Follower{catalog: g, source: s, clock: c, log: l}
	for k := range f.restarts {
		f.restarts[k] = make(chan struct{})
	}
	return f
}

// Run removes targets that did not register again after an outage, until the context ends; then it stops reading.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, expiryCheckInterval)
		f.catalog.RemoveExpired()
	}
	f.Stop("process is stopping")
}

// Start begins to read the store; it does nothing if the store is already being read.
func (f *Follower) Start(ctx context.Context, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		return
	}
	ctx, f.cancel = context.WithCancel(ctx)
	f.awaitingFirstAnswer = true
	f.log.Info().Str("Why", why).Msg("reads the store")
	for _, k := range f.catalog.Kinds() {
		go f.follow(ctx, k)
	}
}

// Stop stops reading the store.
func (f *Follower) Stop(why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel == nil {
		return
	}
	f.cancel()
	f.cancel, f.outageStart, f.consecutiveFailures, f.unreadable = nil, 0, 0, [KindCount]bool{}
	f.log.Info().Str("Why", why).Msg("reads the store no longer")
}

// Reading reports whether this VM reads the store, and when the store last confirmed that the catalog is current.
func (f *Follower) Reading() (bool, clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancel != nil, f.confirmedAt
}

// follow lists a kind and then watches it until the context ends.
func (f *Follower) follow(ctx context.Context, k Kind) {
	_, asOf := f.catalog.Positions()
	since, failed := asOf[k], Position{}
	for ctx.Err() == nil {
		f.waitForStore(ctx, k)
		if f.takeListAgain(k) {
			since, failed = Position{}, Position{}
		}
		if !since.Known() || since.Era < f.currentEra() {
			since = f.resumeFrom(k, failed)
		}
		if !since.Known() {
			var err error
			if since, err = f.List(ctx, k, Current); err != nil {
				f.recordResult(ctx, k, err)
				f.backOff(ctx)
				continue
			}
			f.recordResult(ctx, k, nil)
			if since.Era < f.currentEra() {
				f.backOff(ctx)
				continue
			}
		}
		failed = since
		since = f.watch(ctx, k, since)
	}
}

// takeListAgain reports whether a kind has to be listed, and forgets it.
func (f *Follower) takeListAgain(k Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	again := f.listAgain[k]
	f.listAgain[k] = false
	return again
}

// resumeFrom returns the position up to which other readers have brought the catalog since the last watch failed, if it
// is of the store's current era; otherwise it returns the zero value, which means that the kind has to be listed.
// Unlike a listing, a watch also shows what has been written and undone since then.
func (f *Follower) resumeFrom(k Kind, failed Position) Position {
	_, asOf := f.catalog.Positions()
	if p := asOf[k]; failed.Known() && failed.Before(p) && p.Era >= f.currentEra() {
		return p
	}
	return Position{}
}

// errEraChanged means that the store has come back from an older copy between two pages of a listing.
var errEraChanged = errors.New("catalog: the store's era has changed during a listing")

// errNoProgress means that a page of a listing ends with the name after which it was to begin.
var errNoProgress = errors.New("catalog: page of a listing does not go beyond the one before")

// List reads all pages of a kind into the catalog and returns the position to watch from. The position of a stale
// listing is not recorded in the catalog: its content may be from before the store's current era.
func (f *Follower) List(ctx context.Context, k Kind, s Freshness) (Position, error) {
	var records []Record
	var asOf Position
	after := ""
	leftOut := 0
	for {
		p, err := f.listPage(ctx, k, after, s)
		if err != nil {
			return Position{}, err
		}
		leftOut += p.LeftOut
		// A watch from the first page's revision also returns the changes made between two pages.
		if !asOf.Known() {
			asOf = p.AsOf
		}
		if p.AsOf.Era != asOf.Era {
			return Position{}, errEraChanged
		}
		records = append(records, p.Records...)
		if !p.More {
			break
		}
		if p.Last == "" || p.Last == after {
			return Position{}, errNoProgress
		}
		after = p.Last
	}
	if leftOut > 0 {
		f.log.Warn().Str("Kind", k.String()).Int("Objects", leftOut).Msg("listing has objects without a readable name")
	}
	if s == Stale {
		f.catalog.Replace(k, records, Position{})
		return Position{}, nil
	}
	f.recordEra(asOf.Era)
	f.catalog.Replace(k, records, asOf)
	return asOf, nil
}

// currentEra returns the latest era of the store that has been seen.
func (f *Follower) currentEra() ident.Era {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newestEra
}

// recordEra records the era of an answer. A new one means that the store has come back from an older copy: all watches
// are restarted, so that every kind is listed again.
func (f *Follower) recordEra(e ident.Era) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e <= f.newestEra {
		return
	}
	if f.newestEra != 0 {
		f.log.Warn().Uint64("Era", uint64(e)).Msg("store came back from an older copy; listing all kinds again")
	}
	f.newestEra = e
	f.restartAll()
}

// restartAll cancels the calls under way of all kinds; the lock must be held.
func (f *Follower) restartAll() {
	for k := range KindCount {
		f.restart(k)
	}
}

// restart cancels the calls under way of a kind, so that it is watched anew; the lock must be held.
func (f *Follower) restart(k Kind) {
	close(f.restarts[k])
	f.restarts[k] = make(chan struct{})
}

func (f *Follower) listPage(ctx context.Context, k Kind, after string, s Freshness) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.source.List(ctx, k, after, s)
}

// watch applies the changes of a kind until a call fails, and returns the position to resume from; the zero value means
// that the kind has to be listed again.
func (f *Follower) watch(ctx context.Context, k Kind, since Position) Position {
	wait := watchWait
	for ctx.Err() == nil {
		if k == Configurations {
			f.waitForListings(ctx)
			wait = f.configurationWait()
		}
		since = f.newestPosition(k, since)
		sentAt := f.clock.Now()
		b, err := f.watchOnce(ctx, k, since, wait)
		answeredAt := f.clock.Now()
		if errors.Is(err, errWatchRestarted) {
			return since
		}
		if errors.Is(err, ErrHistoryGone) {
			f.log.Info().Str("Kind", k.String()).Uint64("Since", uint64(since.Revision)).
				Msg("store no longer has the changes since this revision; listing again")
			return Position{}
		}
		if err == nil && b.AsOf.Era != since.Era {
			f.recordEra(b.AsOf.Era)
			return Position{}
		}
		f.recordResult(ctx, k, err)
		if err != nil {
			f.backOff(ctx)
			if errors.Is(err, ErrUnreadable) {
				// The same changes would come again, and more of them; the pages of a listing are bounded.
				return Position{}
			}
			return since
		}
		f.catalog.Apply(k, b)
		if b.LeftOut > 0 {
			f.log.Warn().Str("Kind", k.String()).Int("Objects", b.LeftOut).
				Msg("changes have objects without a readable name; listing again")
			f.backOff(ctx)
			return Position{}
		}
		since = b.AsOf
		if k == Configurations && !f.confirm(ctx, b.AsOf, sentAt, answeredAt) {
			f.backOff(ctx)
			continue
		}
		if len(b.Changes) > 0 {
			clock.Sleep(ctx, batchDelay)
		}
	}
	return since
}

// configurationWait returns how long the store may wait for a change before it answers the next configuration watch.
// The wait ends confirmInterval after the store's last answer, also if the follower has paused for batchDelay since
// then. Each answer confirms that this catalog is current, and the readers pass the time of the last one on to the
// other members, which need it in time.
func (f *Follower) configurationWait() time.Duration {
	_, confirmedAt := f.Reading()
	return max(confirmInterval-f.clock.Now().Sub(confirmedAt), minWait)
}

// errWatchRestarted means that this process cancelled a watch in order to restart it.
var errWatchRestarted = errors.New("catalog: watch cancelled for a restart")

// watchOnce makes one watch call; it fails with errWatchRestarted when the restart channel is closed meanwhile.
func (f *Follower) watchOnce(ctx context.Context, k Kind, since Position, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	f.mu.Lock()
	r := f.restarts[k]
	f.mu.Unlock()
	done := make(chan struct{})
	defer close(done)
	restarted := make(chan struct{})
	go func() {
		select {
		case <-r:
			close(restarted)
			cancel()
		case <-done:
		}
	}()
	b, err := f.source.Watch(ctx, k, since.Revision, wait)
	if err != nil {
		select {
		case <-restarted:
			return Batch{}, errWatchRestarted
		default:
		}
	}
	return b, err
}

// recordResult records whether the store answered a call. The first failure also cancels the other watches, which would
// otherwise go on waiting for a store that no longer responds.
func (f *Follower) recordResult(ctx context.Context, k Kind, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	now := f.clock.Now()
	f.unreadable[k] = errors.Is(err, ErrUnreadable) || err != nil && f.unreadable[k]
	if err == nil {
		if k == Configurations {
			f.awaitingFirstAnswer = false
			if f.catalog.ofOneEra() && !f.lacksKind() {
				f.catalog.RecordServed(now, now)
			}
		}
		if f.outageStart == 0 {
			return
		}
		outage := now.Sub(f.outageStart)
		f.outageStart, f.consecutiveFailures = 0, 0
		f.log.Info().Dur("Outage", outage).Msg("store regained")
		if outage >= minExpiryOutage {
			f.catalog.StoreRegained(reregisterGrace)
		}
		return
	}
	f.consecutiveFailures++
	if f.outageStart == 0 {
		f.outageStart = now
		f.log.Warn().Str("Kind", k.String()).Err(err).Msg("store lost")
		f.restartAll()
	}
}

// lacksKind reports whether the responses for a kind whose changes have to take effect in time can't be read, so that
// the store's other answers don't show that the catalog is current; the lock must be held.
func (f *Follower) lacksKind() bool {
	for k, lacking := range f.unreadable {
		if lacking && Kind(k) != Members {
			return true
		}
	}
	return false
}

// backOff waits after a failed call for a random delay that grows with each further failure.
func (f *Follower) backOff(ctx context.Context) {
	f.mu.Lock()
	d := min(minRetryDelay<<min(f.consecutiveFailures, 4), maxRetryDelay)
	f.mu.Unlock()
	clock.Sleep(ctx, d/2+rand.N(d/2))
}

// waitForStore suspends all kinds but the configurations until the store answers, so that few calls are made during an
// outage.
func (f *Follower) waitForStore(ctx context.Context, k Kind) {
	for k != Configurations && ctx.Err() == nil && !f.storeAnswers() {
		clock.Sleep(ctx, storeCheckInterval)
	}
}

// waitForListings waits until every kind has been listed in the store's era, since no answer confirms the catalog
// before that. It waits for maxListingWait at most.
func (f *Follower) waitForListings(ctx context.Context) {
	end := f.clock.Now().Add(maxListingWait)
	for ctx.Err() == nil && !f.catalog.ofOneEra() && f.clock.Now() < end {
		clock.Sleep(ctx, storeCheckInterval)
	}
}

// storeAnswers reports whether the store has answered since Start and no outage is under way.
func (f *Follower) storeAnswers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outageStart == 0 && !f.awaitingFirstAnswer
}
