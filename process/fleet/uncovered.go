package fleet

import (
	"context"
	"time"

	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// uncoveredInterval is how long no reader's digest has covered a kind before a member lists the kind itself, and the
// time between two such listings. It only happens while all readers run an older build that does not know the kind.
const uncoveredInterval = 2 * time.Second

// recordExtra records that a reader's digest covers a kind beyond listedKinds.
func (f *Fleet) recordExtra(k catalog.Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.extraHeardAt[k] = f.clock.Now()
}

// listUncovered lists the followed kinds that no active reader covers, until the context ends.
func (f *Fleet) listUncovered(ctx context.Context) {
	started := f.clock.Now()
	var listedAt [catalog.KindCount]clock.Instant
	for ctx.Err() == nil {
		clock.Sleep(ctx, digestInterval)
		reading, _ := f.follower.Reading()
		if reading || f.countFreshReaders(f.clock.Now()) == 0 {
			continue
		}
		for _, k := range f.catalog.Kinds() {
			now := f.clock.Now()
			f.mu.Lock()
			heard := max(f.extraHeardAt[k], started, listedAt[k])
			f.mu.Unlock()
			if k < listedKinds || now.Sub(heard) < uncoveredInterval {
				continue
			}
			listedAt[k] = now
			if _, err := f.follower.List(ctx, k, catalog.Current); err != nil {
				f.log.Warn().Str("Kind", k.String()).Err(err).Msg("could not list a kind that no reader covers")
			}
		}
	}
}
