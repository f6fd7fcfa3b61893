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
	watchSlack = time.Second
	// pulseWait is the wait of the one watch that also shows whether the store answers at all. It has to end within the
	// time in which the operators expect a regained VM to be up to date, 3 s.
	pulseWait = 2500 * time.Millisecond
	// quietWait is the wait of the other watches.
	quietWait = 15 * time.Second
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
)

// Follower keeps a catalog up to date; one goroutine for each kind.
type Follower struct {
	catalog *Catalog
	source  Source
	clock   clock.Clock
	log     zerolog.Logger

	mu sync.Mutex
	// lostAt is when the store stopped answering; zero while it answers.
	lostAt   clock.Instant
	failures int
	// restart ends the watches under way, so that each kind is listed again.
	restart chan struct{}
}

// NewFollower returns a follower that reads from the source.
func NewFollower(g *Catalog, s Source, c clock.Clock, l zerolog.Logger) *Follower {
	return &Follower{catalog: g, source: s, clock: c, log: l, restart: make(chan struct{})}
}

// Run follows all kinds until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var w sync.WaitGroup
	for k := range kinds {
		w.Go(func() { f.follow(ctx, k) })
	}
	w.Go(func() { f.sweep(ctx) })
	w.Wait()
}

// Refresh makes every kind be listed again at once; the caller has heard that the store is ahead.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.restart)
	f.restart = make(chan struct{})
}

func (f *Follower) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, sweepPause)
		f.catalog.Sweep()
	}
}

func (f *Follower) follow(ctx context.Context, k Kind) {
	for ctx.Err() == nil {
		since, err := f.list(ctx, k)
		f.report(k, err)
		if err != nil {
			f.pause(ctx, k)
			continue
		}
		f.watch(ctx, k, since)
	}
}

// list reads all pages of a kind.
func (f *Follower) list(ctx context.Context, k Kind) (ident.Revision, error) {
	var records []Record
	var asOf ident.Revision
	after := ""
	for {
		p, err := f.page(ctx, k, after)
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

func (f *Follower) page(ctx context.Context, k Kind, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.source.List(ctx, k, after)
}

// watch follows the changes of a kind until it has to be listed again.
func (f *Follower) watch(ctx context.Context, k Kind, since ident.Revision) {
	wait := quietWait
	if k == Configurations {
		wait = pulseWait
	}
	for ctx.Err() == nil {
		b, err := f.next(ctx, k, since, wait)
		if errors.Is(err, errRestart) {
			return
		}
		if errors.Is(err, ErrHistoryGone) {
			f.log.Info().Str("Kind", k.String()).Uint64("Since", uint64(since)).Msg("history is gone, listing again")
			return
		}
		f.report(k, err)
		if err != nil {
			f.pause(ctx, k)
			return
		}
		since = b.AsOf
		f.catalog.Apply(k, b)
		if len(b.Changes) > 0 {
			sleep(ctx, batchPause)
		}
	}
}

// errRestart means that a watch was ended by this process.
var errRestart = errors.New("catalog: watch ended for a new listing")

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

// report notes whether the store answers. The first failure ends the other watches too, since a store that fell silent
// leaves them waiting.
func (f *Follower) report(k Kind, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if err == nil {
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

// pause waits after a failure. While the store is lost only one kind asks, so that an outage costs few calls.
func (f *Follower) pause(ctx context.Context, k Kind) {
	f.mu.Lock()
	d := min(minPause<<min(f.failures, 4), maxPause)
	f.mu.Unlock()
	sleep(ctx, d/2+rand.N(d/2))
	for k != Configurations && ctx.Err() == nil && f.lost() {
		sleep(ctx, minPause/2)
	}
}

func (f *Follower) lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lostAt != 0
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
