package spread

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/platform"
	"github.com/amaranthramp/amaranthramp/version/archive"
	"github.com/amaranthramp/amaranthramp/wire"
)

const (
	// retryDelay is the mean delay after a failed call.
	retryDelay = 300 * time.Millisecond
	// watchTimeout is the longest duration of one watch of the head.
	watchTimeout = 10 * time.Second
	// minPollInterval is the poll interval of the first member that does not watch; it doubles for each further one.
	minPollInterval = 2 * time.Second
	// maxPollInterval is the longest poll interval.
	maxPollInterval = 32 * time.Second
	// pullTimeout limits the duration of one pull.
	pullTimeout = 2 * time.Second
	// watchersPerDataCentre is the number of members of a data centre that watch the platform.
	watchersPerDataCentre = 2
)

// Source provides the head object.
type Source interface {
	Get(ctx context.Context, name string) (platform.Object, error)
	Watch(ctx context.Context, name string, after platform.Revision, wait time.Duration) (platform.Object, error)
}

// SetMembers sets the current members, from which the VM derives whether it watches the platform or how often it polls.
func (s *Replica) SetMembers(l []*wire.Member) {
	r := WatcherRank(s.self, l)
	s.mu.Lock()
	old := s.watcherRank
	s.watcherRank = r
	s.mu.Unlock()
	if old != r {
		s.rankChanged.Replace(struct{}{})
	}
}

// WatcherRank returns how many members of the VM's data centre precede it in the order of watchers. A VM that is not a
// member yet has rank 0, so that it watches.
func WatcherRank(self ident.VM, l []*wire.Member) int {
	for i, m := range watcherOrder(self, l) {
		if m.GetVm() == string(self) {
			return i
		}
	}
	return 0
}

// Watchers returns the members that watch the platform for the VM's data centre; it is empty when the VM is one of
// them.
func Watchers(self ident.VM, l []*wire.Member) []*wire.Member {
	o := watcherOrder(self, l)
	o = o[:min(len(o), watchersPerDataCentre)]
	for _, m := range o {
		if m.GetVm() == string(self) {
			return nil
		}
	}
	return o
}

// watcherOrder returns one member for each VM in the data centre of self, in the order in which they become watchers.
func watcherOrder(self ident.VM, l []*wire.Member) []*wire.Member {
	i := slices.IndexFunc(l, func(m *wire.Member) bool { return m.GetVm() == string(self) })
	if i < 0 {
		return nil
	}
	seen := map[string]bool{}
	var r []*wire.Member
	for _, m := range l {
		if m.GetDataCentre() == l[i].GetDataCentre() && !seen[m.GetVm()] {
			seen[m.GetVm()] = true
			r = append(r, m)
		}
	}
	slices.SortFunc(r, func(a, b *wire.Member) int {
		return cmp.Or(cmp.Compare(rendezvousHash(b.GetVm()), rendezvousHash(a.GetVm())), cmp.Compare(a.GetVm(), b.GetVm()))
	})
	return r
}

func rendezvousHash(vm string) uint64 {
	return xxhash.Sum64String("watcher|" + vm)
}

// Run keeps the configuration up to date until the context ends.
func (s *Replica) Run(ctx context.Context) {
	var g sync.WaitGroup
	g.Go(func() { s.followPlatform(ctx) })
	g.Go(func() { s.pullFromPeers(ctx) })
	g.Go(func() { s.pullFromSeeds(ctx) })
	g.Wait()
}

func (s *Replica) followPlatform(ctx context.Context) {
	var seen platform.Revision
	for ctx.Err() == nil {
		r, err := s.pollOnce(ctx, seen)
		if err != nil {
			seen = 0
			sleep(ctx, jitter(retryDelay), nil)
			continue
		}
		seen = r
		if d := s.pollInterval(); d > 0 {
			sleep(ctx, jitter(d), s.rankChanged.Out())
		}
	}
}

// pollOnce fetches the head once, by a watch if this VM is a watcher, and adopts a changed configuration.
func (s *Replica) pollOnce(ctx context.Context, seen platform.Revision) (platform.Revision, error) {
	o, err := s.fetchHead(ctx, seen)
	if err != nil {
		return 0, err
	}
	if o.Revision == seen {
		return seen, nil
	}
	n, err := s.archive.LoadFromHead(ctx, o, s.Snapshot())
	if errors.Is(err, platform.ErrNotFound) {
		n, err = s.archive.Load(ctx, s.Snapshot())
	}
	if err != nil {
		s.log.Warn().Err(err).Msg("reading the configuration failed")
		return 0, err
	}
	s.AdoptIfNewer(n)
	return o.Revision, nil
}

func (s *Replica) fetchHead(ctx context.Context, seen platform.Revision) (platform.Object, error) {
	if seen == 0 || s.pollInterval() > 0 {
		return s.source.Get(ctx, archive.HeadName)
	}
	return s.source.Watch(ctx, archive.HeadName, seen, watchTimeout)
}

// pollInterval is the mean delay between two polls, or zero for a member that watches.
func (s *Replica) pollInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watcherRank < watchersPerDataCentre {
		return 0
	}
	d := minPollInterval
	for range s.watcherRank - watchersPerDataCentre {
		d = min(2*d, maxPollInterval)
	}
	return d
}

func (s *Replica) pullFromPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-s.pendingPeers.Out():
			s.tryPull(ctx, a)
		}
	}
}

// pullFromSeeds pulls from the seeds in turn until a configuration is known.
func (s *Replica) pullFromSeeds(ctx context.Context) {
	if len(s.seeds) == 0 {
		return
	}
	for i := 0; ctx.Err() == nil && s.State().Version == 0; i++ {
		s.tryPull(ctx, s.seeds[i%len(s.seeds)])
		sleep(ctx, jitter(retryDelay), nil)
	}
}

func (s *Replica) tryPull(ctx context.Context, a ident.Address) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	if err := s.Pull(ctx, a); err != nil {
		s.log.Debug().Err(err).Msg("pull from peer failed")
	}
}

// jitter randomizes a delay, so that the calls of many members are spread over time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-wake:
	}
}
