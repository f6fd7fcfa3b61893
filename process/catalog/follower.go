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

// The bounds on calls to the store.
const (
	// listTimeout bounds one page of a listing; the store answers in milliseconds, and in a quarter of a second when slow.
	listTimeout = time.Second
	// watchSlack is how much longer than its own wait a watch may take.
	watchSlack = 700 * time.Millisecond
	// pulseWait is the wait of the one watch that also shows whether the store answers at all. Together with the slack it
	// stays well within the 2 s in which a change is to be in force.
	pulseWait = 800 * time.Millisecond
	// firstWait is the wait of the first pulse of a reader, whose members wait for its word.
	firstWait = time.Millisecond
	// quietWait is the wait of the other watches.
	quietWait = 20 * time.Second
	// batchPause lets changes gather before the next watch; it is taken from the 2 s in which a change is to be in force.
	batchPause = 400 * time.Millisecond
	// minPause and maxPause bound the pause after a failed call.
	minPause = 200 * time.Millisecond
	maxPause = time.Second
	// lapseOutage is the shortest outage in which targets can lapse: twice their heartbeat of 1.5 s.
	lapseOutage = 3 * time.Second
	// lapseGrace is how long targets have to register again, by the platform's promise of about 2 s.
	lapseGrace = 2200 * time.Millisecond
	// sweepPause is how often targets that were kept after an outage are looked at.
	sweepPause = 200 * time.Millisecond
	// holdPause is how often the kinds that are held back look whether the store answers.
	holdPause = 20 * time.Millisecond
	// missedAfter is how long a watch may lag behind the store's revision before it is asked for again.
	missedAfter = 500 * time.Millisecond
)

// Follower reads the store into a catalog while this VM is to read it; a goroutine for each kind.
type Follower struct {
	catalog *Catalog
	source  Source
	clock   clock.Clock
	log     zerolog.Logger

	mu sync.Mutex
	// stop ends the reading under way; nil while this VM does not read.
	stop context.CancelFunc
	// lostAt is when the store stopped answering; zero while it answers.
	lostAt   clock.Instant
	failures int
	// unproven tells that the store has not answered since this VM began to read.
	unproven bool
	// confirmed is when the store last answered the pulse.
	confirmed clock.Instant
	// restart ends the watches under way, so that each kind is asked for again.
	restart chan struct{}
	// missed is a revision of the store that a kind may have missed, missedAt since when, and cleared the last one that
	// was looked into.
	missed   ident.Revision
	missedAt clock.Instant
	cleared  ident.Revision
}

// NewFollower returns a follower that does not read yet.
func NewFollower(g *Catalog, s Source, c clock.Clock, l zerolog.Logger) *Follower {
	return &Follower{catalog: g, source: s, clock: c, log: l, restart: make(chan struct{})}
}

// Run drops targets that stay away after an outage, until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, sweepPause)
		f.catalog.Sweep()
	}
	f.Stop("process ends")
}

// Start begins to read the store; it does nothing when the store is read already.
func (f *Follower) Start(ctx context.Context, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stop != nil {
		return
	}
	ctx, f.stop = context.WithCancel(ctx)
	f.unproven = true
	f.log.Info().Str("Why", why).Msg("reads the store")
	for k := range Kinds {
		go f.follow(ctx, k)
	}
}

// Stop ends the reading.
func (f *Follower) Stop(why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stop == nil {
		return
	}
	f.stop()
	f.stop, f.lostAt, f.failures = nil, 0, 0
	f.log.Info().Str("Why", why).Msg("reads the store no more")
}

// Reading reports whether this VM reads the store, and when the store last confirmed what is known.
func (f *Follower) Reading() (bool, clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stop != nil, f.confirmed
}

func (f *Follower) follow(ctx context.Context, k Kind) {
	_, asOf := f.catalog.Revisions()
	since := asOf[k]
	for ctx.Err() == nil {
		f.waitForStore(ctx, k)
		if since == 0 {
			var err error
			if since, err = f.List(ctx, k, Current); err != nil {
				f.report(ctx, k, err)
				f.pause(ctx)
				continue
			}
			f.report(ctx, k, nil)
		}
		since = f.watch(ctx, k, since)
	}
}

// List reads all pages of a kind into the catalog and returns the revision that they show.
func (f *Follower) List(ctx context.Context, k Kind, s Freshness) (ident.Revision, error) {
	var records []Record
	var asOf ident.Revision
	after := ""
	for {
		p, err := f.page(ctx, k, after, s)
		if err != nil {
			return 0, err
		}
		// Changes between two pages are read again by a watch from the first page's revision.
		if asOf == 0 {
			asOf = p.AsOf
		}
		records = append(records, p.Records...)
		if !p.More || len(p.Records) == 0 {
			break
		}
		after = p.Records[len(p.Records)-1].Name
	}
	f.catalog.Replace(k, records, asOf)
	return asOf, nil
}

func (f *Follower) page(ctx context.Context, k Kind, after string, s Freshness) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.source.List(ctx, k, after, s)
}

// watch follows the changes of a kind until it fails, and returns the revision to go on from; zero means that the kind
// has to be listed again.
func (f *Follower) watch(ctx context.Context, k Kind, since ident.Revision) ident.Revision {
	wait := quietWait
	for ctx.Err() == nil {
		if k == Configurations {
			wait = f.pulse()
		}
		b, err := f.next(ctx, k, since, wait)
		if errors.Is(err, errRestart) {
			return since
		}
		if errors.Is(err, ErrHistoryGone) {
			f.log.Info().Str("Kind", k.String()).Uint64("Since", uint64(since)).Msg("history is gone, listing again")
			return 0
		}
		f.report(ctx, k, err)
		if err != nil {
			f.pause(ctx)
			return since
		}
		since = b.AsOf
		f.catalog.Apply(k, b)
		if k == Configurations {
			f.checkMissed(b.AsOf)
		}
		if len(b.Changes) > 0 {
			clock.Sleep(ctx, batchPause)
		}
	}
	return since
}

// pulse returns how long the watch that shows whether the store answers may wait. Its answers come pulseWait apart,
// also when changes gathered in between, so that members know in time that the store has confirmed what they know.
func (f *Follower) pulse() time.Duration {
	_, confirmed := f.Reading()
	return max(pulseWait-f.clock.Now().Sub(confirmed), firstWait)
}

// errRestart means that a watch was ended by this process.
var errRestart = errors.New("catalog: watch ended to be asked for again")

func (f *Follower) next(ctx context.Context, k Kind, since ident.Revision, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	f.mu.Lock()
	r := f.restart
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
	b, err := f.source.Watch(ctx, k, since, wait)
	if err != nil {
		select {
		case <-restarted:
			return Batch{}, errRestart
		default:
		}
	}
	return b, err
}

// checkMissed compares the store's revision with what the kinds are known as of. A watch that says nothing of a newer
// revision for long has missed it, or the revision is of a kind that isn't followed: each is looked into once.
func (f *Follower) checkMissed(store ident.Revision) {
	_, asOf := f.catalog.Revisions()
	known := ident.Revision(0)
	for k, r := range asOf {
		if Kind(k) != Configurations {
			known = max(known, r)
		}
	}
	changed, _ := f.catalog.Revisions()
	known = max(known, changed[Configurations])
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if known >= f.missed {
		f.missed = 0
	}
	switch {
	case store <= known || store <= f.cleared:
	case f.missed == 0:
		f.missed, f.missedAt = store, now
	case now.Sub(f.missedAt) >= missedAfter:
		f.cleared, f.missed = store, 0
		f.log.Info().Uint64("Store", uint64(store)).Uint64("Known", uint64(known)).Msg("watches may have missed a change")
		close(f.restart)
		f.restart = make(chan struct{})
	}
}

// report notes whether the store answers. The first failure ends the other watches too, since a store that fell silent
// leaves them waiting.
func (f *Follower) report(ctx context.Context, k Kind, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	now := f.clock.Now()
	if err == nil {
		if k == Configurations {
			f.confirmed, f.unproven = now, false
		}
		if f.lostAt == 0 {
			return
		}
		out := now.Sub(f.lostAt)
		f.lostAt, f.failures = 0, 0
		f.log.Info().Dur("Outage", out).Msg("store regained")
		if out >= lapseOutage {
			f.catalog.Regained(lapseGrace)
		}
		return
	}
	f.failures++
	if f.lostAt == 0 {
		f.lostAt = now
		f.log.Warn().Str("Kind", k.String()).Err(err).Msg("store lost")
		close(f.restart)
		f.restart = make(chan struct{})
	}
}

// pause waits after a failure, longer after each.
func (f *Follower) pause(ctx context.Context) {
	f.mu.Lock()
	d := min(minPause<<min(f.failures, 4), maxPause)
	f.mu.Unlock()
	clock.Sleep(ctx, d/2+rand.N(d/2))
}

// waitForStore holds all kinds but one back until the store answers, so that an outage costs few calls.
func (f *Follower) waitForStore(ctx context.Context, k Kind) {
	for k != Configurations && ctx.Err() == nil && !f.answers() {
		clock.Sleep(ctx, holdPause)
	}
}

func (f *Follower) answers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lostAt == 0 && !f.unproven
}
