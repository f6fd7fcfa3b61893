package fleet

import (
	"maps"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/wire"
)

const (
	// minPresenceInterval is how often a reader asks the members whether they run; presenceIntervalPerMember is added up
	// to that in a large fleet, so that a reader gets at most a hundred answers per second.
	minPresenceInterval       = time.Second
	presenceIntervalPerMember = 10 * time.Millisecond
	// silentIntervals is after how many of these intervals without an answer a member counts as silent.
	silentIntervals = 3
	// maxSilentBytes bounds the bits for silent members in a digest, those of the lowest ranks.
	maxSilentBytes = 512
)

// presence is what is known of which registered members run. Nothing removes the registration of a VM that is gone,
// and members must not wait for it in an order of ranks. Only such an order depends on it, so that a member that is
// called silent by mistake does no harm.
type presence struct {
	// askedAt is when this VM, as a reader, last asked the members.
	askedAt clock.Instant
	// heardAt is when each member last answered this VM or, if it has not, when this VM began to ask it.
	heardAt map[ident.VM]clock.Instant
	// silent holds the members that do not answer, as this VM or the last digest of a reader says. The map is replaced,
	// never changed.
	silent map[ident.VM]struct{}
}

func newPresence() presence {
	return presence{heardAt: map[ident.VM]clock.Instant{}, silent: map[ident.VM]struct{}{}}
}

// interval returns how often the members of a fleet of the given size are asked.
func (p *presence) interval(members int) time.Duration {
	return max(minPresenceInterval, time.Duration(members-len(p.silent))*presenceIntervalPerMember)
}

// ask updates the silent members and reports whether they are to be asked again: after the interval or, if pause is
// shorter and not zero, after that.
func (p *presence) ask(now clock.Instant, self ident.VM, t *topology, pause time.Duration) bool {
	d := p.interval(t.size)
	if pause == 0 {
		pause = d
	}
	if now.Sub(p.askedAt) < min(pause, d) {
		return false
	}
	if now.Sub(p.askedAt) >= silentIntervals*d {
		// This VM has just begun to read, so that no member has had time to answer.
		clear(p.heardAt)
	}
	p.askedAt = now
	silent := map[ident.VM]struct{}{}
	for v := range t.ranks {
		at, ok := p.heardAt[v]
		if _, was := p.silent[v]; !ok && !was {
			at = now
			p.heardAt[v] = at
		}
		if v != self && now.Sub(at) >= silentIntervals*d {
			silent[v] = struct{}{}
		}
	}
	maps.DeleteFunc(p.heardAt, func(v ident.VM, _ clock.Instant) bool {
		_, ok := t.ranks[v]
		return !ok
	})
	p.silent = silent
	return true
}

// bits returns a bit for each rank up to that of the last silent member.
func (p *presence) bits(t *topology) []byte {
	var b []byte
	for v := range p.silent {
		r, ok := t.ranks[v]
		if !ok || r/8 >= maxSilentBytes {
			continue
		}
		if n := r/8 + 1; len(b) < n {
			b = append(b, make([]byte, n-len(b))...)
		}
		b[r/8] |= 1 << (r % 8)
	}
	return b
}

// describePresence adds to a digest which members are silent, and at times the question whether the members run.
func (f *Fleet) describePresence(d *wire.Digest) {
	t, now := f.topology(), f.clock.Now()
	pause := f.presencePause(t.size)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.presence.ask(now, f.self.Name, t, pause) {
		d.AskPresence, d.Round = true, f.statements.begin(now)
	}
	d.Silent = f.presence.bits(t)
}

// handlePresent records the answer of a member.
func (f *Fleet) handlePresent(d *wire.Digest) {
	v := ident.VM(d.GetMember())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statements.record(v, d.GetRound(), d.GetKeepers())
	f.presence.heardAt[v] = f.clock.Now()
	if _, ok := f.presence.silent[v]; ok {
		n := maps.Clone(f.presence.silent)
		delete(n, v)
		f.presence.silent = n
	}
}

// followPresence takes from the digest of a reader which members are silent, if it is of the same list of members, and
// answers if it asks for that.
func (f *Fleet) followPresence(d *wire.Digest, reader ident.Address, members catalog.Position) {
	if d.GetAskPresence() {
		f.answerPresence(d, reader)
	}
	t := f.topology()
	if reading, _ := f.follower.Reading(); reading || t.at != members {
		return
	}
	silent := map[ident.VM]struct{}{}
	for v, r := range t.ranks {
		if b := d.GetSilent(); r/8 < len(b) && b[r/8]&(1<<(r%8)) != 0 && v != f.self.Name {
			silent[v] = struct{}{}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.presence.silent = silent
}

// countSilent returns how many silent members come before a rank, and how many there are.
func (p *presence) countSilent(t *topology, rank int) (before, all int) {
	for v := range p.silent {
		r, ok := t.ranks[v]
		if !ok {
			continue
		}
		all++
		if r < rank {
			before++
		}
	}
	return before, all
}
