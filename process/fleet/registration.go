package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

const (
	// registerTimeout is the timeout of a registration.
	registerTimeout = time.Second
	// minRegisterPause and maxRegisterPause bound the pause after a call that failed, which doubles each time.
	minRegisterPause = time.Second
	maxRegisterPause = 4 * time.Second
	// reregisterSpan is the span over which members register again whose registrations the store has lost, so that a
	// large fleet does not overload a store that has just come back.
	reregisterSpan = time.Second
)

// keepRegistered registers this VM in the store, unless the store has the registration already, and again whenever the
// store has lost it. It returns when the context ends.
func (f *Fleet) keepRegistered(ctx context.Context) {
	f.awaitMembers(ctx)
	registeredAt := catalog.Position{}
	pause := minRegisterPause
	for ctx.Err() == nil {
		changed := f.catalog.Changed()
		if !f.isMissing(registeredAt) {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if registeredAt.Known() {
			f.log.Warn().Msg("store has lost the registration of this VM")
			clock.Sleep(ctx, rand.N(reregisterSpan))
		}
		p, err := f.register(ctx)
		if err != nil {
			f.log.Warn().Err(err).Msg("could not register as a member; retrying")
			clock.Sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, maxRegisterPause)
			continue
		}
		registeredAt, pause = p, minRegisterPause
		f.log.Info().Msg("registered as a member")
	}
}

// awaitMembers waits until this VM knows the members, from the store or from a reader. A VM that restarts while the
// store is away is registered already in most cases, and a listing has a tenth of the price of a registration. At the
// first start of the system no VM is registered yet.
func (f *Fleet) awaitMembers(ctx context.Context) {
	pause := minRegisterPause
	for !f.firstStart && ctx.Err() == nil && !f.catalog.Listed(catalog.Members) {
		clock.Sleep(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, maxRegisterPause)
		if f.catalog.Listed(catalog.Members) {
			return
		}
		if _, err := f.follower.List(ctx, catalog.Members, catalog.Stale); err != nil {
			f.log.Warn().Err(err).Msg("could not list the members; retrying")
		}
	}
}

func (f *Fleet) register(ctx context.Context) (catalog.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return f.source.Register(ctx, f.self)
}

// isMissing reports whether the registration of this VM, which was last written at the given position, is missing from
// a state of the store at that position or later.
func (f *Fleet) isMissing(registeredAt catalog.Position) bool {
	v := f.catalog.Get()
	for _, m := range v.Members {
		if m == f.self && !v.Unregistered[m.Name] {
			return false
		}
	}
	return !registeredAt.Known() || !v.Positions[catalog.Members].Before(registeredAt)
}
