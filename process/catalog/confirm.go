package catalog

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// newestPosition returns the position up to which a kind has been read in the era of a watch, which is later than the
// watch's own if the kind was read up to it in another way meanwhile.
func (f *Follower) newestPosition(k Kind, since Position) Position {
	_, asOf := f.catalog.Positions()
	if p := asOf[k]; p.Era == since.Era && since.Before(p) {
		return p
	}
	return since
}

// catchUp reads every kind that has not been read up to a state of the store, and reports whether each then has been
// whose changes have to take effect in time. The answer to a watch may get lost, and nothing else shows that: the watch
// of another kind returns only changes of that kind, and its own is not answered before its wait ends.
func (f *Follower) catchUp(ctx context.Context, store Position) bool {
	_, asOf := f.catalog.Positions()
	var w sync.WaitGroup
	for _, k := range f.catalog.Kinds() {
		if asOf[k].Known() && asOf[k].Era == store.Era && asOf[k].Before(store) {
			w.Go(func() { f.readChanges(ctx, k, asOf[k]) })
		}
	}
	w.Wait()
	_, asOf = f.catalog.Positions()
	return !slices.ContainsFunc(f.catalog.Kinds(), func(k Kind) bool { return k != Members && asOf[k].Before(store) })
}

// readChanges reads the changes of a kind since a position without waiting for more. The watch of the kind is restarted
// if it has missed any, or has to read them in another way.
func (f *Follower) readChanges(ctx context.Context, k Kind, since Position) {
	b, err := f.watchOnce(ctx, k, since, minWait)
	if errors.Is(err, errWatchRestarted) {
		return
	}
	if err == nil && b.AsOf.Era != since.Era {
		f.recordEra(b.AsOf.Era)
		return
	}
	list := errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrUnreadable) || b.LeftOut > 0
	switch {
	case list:
	case err != nil:
		// The next answer for the configurations shows whether the store still answers. If it does not, the other watches,
		// one of which may be receiving these changes, end by that.
		f.log.Info().Str("Kind", k.String()).Err(err).Msg("could not read the changes of a kind; trying again")
		return
	default:
		f.recordResult(ctx, k, nil)
		f.catalog.Apply(k, b)
		if len(b.Changes) == 0 {
			return
		}
	}
	f.log.Info().Str("Kind", k.String()).Uint64("Since", uint64(since.Revision)).Int("Changes", len(b.Changes)).
		Bool("List", list).Msg("watch has missed changes; restarting it")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listAgain[k] = f.listAgain[k] || list
	f.restart(k)
}

// confirm reads every kind up to a state of the store that the answer to a call has shown, and reports whether the
// catalog was current when the answer came.
func (f *Follower) confirm(ctx context.Context, store Position, sentAt, answeredAt clock.Instant) bool {
	if !f.catchUp(ctx, store) || !f.catalog.ofOneEra() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lacksKind() {
		return false
	}
	f.confirmedAt = answeredAt
	if _, asOf := f.catalog.Positions(); !asOf[Members].Before(store) {
		f.provenAt = sentAt
	}
	return true
}

// ProvenAt returns an instant as of which the catalog, with the members, is known to have been current; zero if there
// is none or this VM does not read the store.
func (f *Follower) ProvenAt() clock.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel == nil {
		return 0
	}
	return f.provenAt
}
