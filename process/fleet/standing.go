package fleet

import (
	"context"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

const (
	// standingInterval is how often the standings of members are checked.
	standingInterval = 500 * time.Millisecond
	// standingTimeout bounds one write of a standing, and standingPause is the time until it is tried again.
	standingTimeout = time.Second
	standingPause   = time.Second
	// standingFreshness is how old the store's last confirmation may be for a VM that writes a standing.
	standingFreshness = 2 * time.Second
	// lastingSilence is how long a member has to count as silent here. If this VM was paused, the answers of that time
	// arrive at once afterwards.
	lastingSilence = time.Second
	// toleratedSilence is how long members may be silent while the allowances suffice without them. Most cuts and
	// restarts are over by then, and a member that has been replaced needs some time to keep again.
	toleratedSilence = 12 * time.Second
	// spareKeeperCentres is in how many data centres the keepers of each team are, so that the loss of one data centre
	// takes one keeper of a team at most.
	spareKeeperCentres = 4
	// deputyDelay is how long a reader other than the top-ranked one waits before it writes standings in its place.
	deputyDelay = 1500 * time.Millisecond
	// signOfLife is how long a member is not marked again after it has returned: it runs, and only this VM can't hear it.
	signOfLife = 30 * time.Second
	// maxStandingWrites bounds the standings that are written in one check.
	maxStandingWrites = 25
)

// Keepers is what keeps the allowances of teams on this VM.
type Keepers interface {
	// Active reports whether allowances are kept at all.
	Active() bool
	// Short reports whether requests have lately been refused while a keeper did not answer, here or at a VM that has
	// asked this one.
	Short() bool
}

// ManageKeepers makes the fleet write which VMs may keep allowances; handover is how long a VM waits before it keeps in
// the place of another. It must be called before Run.
func (f *Fleet) ManageKeepers(k Keepers, handover time.Duration) {
	f.keepers, f.handover = k, handover
}

// manageStandings writes the standings of this VM and, while it reads the store, of members that do not answer, until
// the context ends.
func (f *Fleet) manageStandings(ctx context.Context) {
	s := newStandings(f)
	for ctx.Err() == nil {
		clock.Sleep(ctx, standingInterval)
		_, confirmed := f.follower.Reading()
		now := f.clock.Now()
		if !f.keepers.Active() || now.Sub(max(f.ConfirmedAt(), confirmed)) >= standingFreshness || now < s.pausedUntil {
			s.silentSince = 0
			clear(s.firstSilent)
			continue
		}
		v := f.catalog.Get()
		s.recordReturns(now, v)
		s.renewOwn(ctx, now, v)
		s.markAbsent(ctx, now, v)
	}
}

// standings is the state of the goroutine that writes standings.
type standings struct {
	fleet *Fleet
	// returningSince is when this process first saw that this VM is returning; zero if it is not.
	returningSince clock.Instant
	// silentSince is since when some keeper has been silent; zero if none is. firstSilent is the same for each.
	silentSince clock.Instant
	firstSilent map[ident.VM]clock.Instant
	// pausedUntil is when writes are tried again after one has failed.
	pausedUntil clock.Instant
	// absent holds the members that were absent when last looked at, and returnedAt when members last returned.
	absent     map[ident.VM]struct{}
	returnedAt map[ident.VM]clock.Instant
	// written holds the revision of the entry that was last replaced for each VM.
	written map[ident.VM]ident.Revision
}

func newStandings(f *Fleet) *standings {
	return &standings{
		fleet: f, written: map[ident.VM]ident.Revision{}, absent: map[ident.VM]struct{}{},
		returnedAt: map[ident.VM]clock.Instant{}, firstSilent: map[ident.VM]clock.Instant{},
	}
}

// recordReturns records which members have returned since the last call.
func (s *standings) recordReturns(now clock.Instant, v *catalog.View) {
	for i := range v.Members {
		n := v.Members[i].Name
		if v.States[i].Standing == catalog.Absent {
			s.absent[n] = struct{}{}
		} else if _, was := s.absent[n]; was {
			delete(s.absent, n)
			s.returnedAt[n] = now
		}
	}
}

// renewOwn makes this VM a keeper again after it was absent: first as one that returns, so that those that kept in its
// place stop, and present once they have.
func (s *standings) renewOwn(ctx context.Context, now clock.Instant, v *catalog.View) {
	f := s.fleet
	o, ok := v.StateOf(f.self.Name)
	if !ok || o.Revision == 0 {
		return
	}
	switch {
	case o.Standing == catalog.Absent:
		s.returningSince = 0
		s.write(ctx, now, &f.self, o.Revision, catalog.Returning)
	case o.Standing != catalog.Returning:
		s.returningSince = 0
	case s.returningSince == 0:
		s.returningSince = now
	case now.Sub(s.returningSince) >= f.handover+standingInterval:
		s.write(ctx, now, &f.self, o.Revision, catalog.Present)
	}
}

// markAbsent marks the members that do not answer as absent if their keepers are missed.
func (s *standings) markAbsent(ctx context.Context, now clock.Instant, v *catalog.View) {
	f := s.fleet
	reading, _ := f.follower.Reading()
	silent, l := f.silentKeepers(now, s.silentSince, v)
	s.recordSilence(now, silent)
	if !reading || len(silent) == 0 {
		s.silentSince = 0
		return
	}
	if s.silentSince == 0 {
		s.silentSince = now
	}
	if !f.isTopRankedReader() && now.Sub(s.silentSince) < deputyDelay {
		return
	}
	for i := range l {
		if i == maxStandingWrites || now < s.pausedUntil {
			return
		}
		if at, ok := s.returnedAt[l[i].Name]; ok && now.Sub(at) < signOfLife {
			continue
		}
		if now.Sub(s.firstSilent[l[i].Name]) < lastingSilence {
			continue
		}
		o, _ := v.StateOf(l[i].Name)
		s.write(ctx, now, &l[i], o.Revision, catalog.Absent)
	}
}

// recordSilence records since when each of the silent members has been silent.
func (s *standings) recordSilence(now clock.Instant, l []roster.Member) {
	silent := make(map[ident.VM]clock.Instant, len(l))
	for i := range l {
		at, ok := s.firstSilent[l[i].Name]
		if !ok {
			at = now
		}
		silent[l[i].Name] = at
	}
	s.firstSilent = silent
}

// write writes a standing, unless the same entry was replaced before.
func (s *standings) write(ctx context.Context, now clock.Instant, m *roster.Member, r ident.Revision,
	n catalog.Standing,
) {
	f := s.fleet
	if s.written[m.Name] == r {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, standingTimeout)
	defer cancel()
	if err := f.source.WriteStanding(ctx, *m, r, n); err != nil {
		f.log.Warn().Str("Member", string(m.Name)).Str("Standing", string(n)).Err(err).
			Msg("could not write the standing of a member; retrying")
		s.pausedUntil = now.Add(standingPause)
		return
	}
	s.written[m.Name] = r
	f.log.Info().Str("Member", string(m.Name)).Str("Standing", string(n)).Msg("standing of a member written")
}

// silentKeepers returns the members that do not answer, and those of them that have to be replaced as keepers: all if
// the allowances do not suffice without them, or else those that have been silent for toleratedSilence. Members that
// were silent before this VM began to ask count as silent since the given instant.
func (f *Fleet) silentKeepers(now, since clock.Instant, v *catalog.View) (silent, replaced []roster.Member) {
	short := f.keepers.Short()
	centres := map[ident.DataCentre]struct{}{}
	for i := range v.Keepers {
		centres[v.Keepers[i].DataCentre] = struct{}{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	affected := map[ident.DataCentre]struct{}{}
	for _, m := range v.Keepers {
		if _, ok := f.presence.silent[m.Name]; !ok || m.Name == f.self.Name {
			continue
		}
		silent = append(silent, m)
		affected[m.DataCentre] = struct{}{}
		at, ok := f.presence.heardAt[m.Name]
		if !ok {
			at = since
		}
		if now.Sub(at) >= toleratedSilence && at != 0 {
			replaced = append(replaced, m)
		}
	}
	spare := len(silent) == 1 && len(v.Keepers) >= spareKeeperCentres ||
		len(affected) == 1 && len(centres) >= spareKeeperCentres
	if short || !spare {
		return silent, silent
	}
	return silent, replaced
}
