package membership

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/lease"
	"github.com/amaranthramp/amaranthramp/wire"
)

// How long a member is silent before it is taken out of the epoch.
const (
	// deadAfter is for a member that a quorum of its witnesses does not hear.
	deadAfter = time.Second
	// deadAlone is for a member whose other witnesses don't answer either.
	deadAlone = 3 * time.Second
	// reportAge is how long a report of another witness counts.
	reportAge = 500 * time.Millisecond
	// turn is the pause by which the witnesses of one member propose its removal one after another.
	turn = 100 * time.Millisecond
)

// maxGap is the pause between two ticks from which on this process counts as having been paused itself.
const maxGap = 500 * time.Millisecond

// suspects holds what the other witnesses of silent members report.
type suspects struct {
	reports map[lease.Key]map[lease.Key]silence
	// known are the instants from which on a member's silence counts.
	known map[lease.Key]clock.Instant
	// resumed is when this process last went on after a pause of its own, and ticked its last tick.
	resumed clock.Instant
	ticked  clock.Instant
}

// silence is a report of one witness.
type silence struct {
	at    clock.Instant
	lasts time.Duration
}

func newSuspects() *suspects {
	return &suspects{reports: map[lease.Key]map[lease.Key]silence{}, known: map[lease.Key]clock.Instant{}}
}

// follow counts the silence of the members that this one witnesses; that of those it did not witness before counts
// from now on, since they had no cause to send it anything.
func (s *suspects) follow(now clock.Instant, self lease.Key, members []*wire.Member) {
	old := s.known
	s.known = map[lease.Key]clock.Instant{}
	s.reports = map[lease.Key]map[lease.Key]silence{}
	for _, m := range members {
		k := lease.KeyOf(m)
		if k == self || !lease.IsWitness(self, lease.Witnesses(k, members)) {
			continue
		}
		s.known[k] = now
		if i, ok := old[k]; ok {
			s.known[k] = i
		}
	}
}

func (s *suspects) tick(now clock.Instant) {
	if now.Sub(s.ticked) > maxGap {
		s.resumed = now
	}
	s.ticked = now
}

// since returns the instant from which on a member's silence counts; that of one not witnessed counts for nothing.
func (s *suspects) since(now clock.Instant, k lease.Key) clock.Instant {
	i, ok := s.known[k]
	if !ok {
		return now
	}
	return max(i, s.resumed)
}

func (s *suspects) report(now clock.Instant, r *wire.Report) {
	k := lease.Key(r.GetSubject())
	if s.reports[k] == nil {
		s.reports[k] = map[lease.Key]silence{}
	}
	d := time.Duration(r.GetSilentMs()) * time.Millisecond
	s.reports[k][lease.Key(r.GetWitness())] = silence{at: now, lasts: d}
}

// count returns how many of the witnesses lately reported silence, and how many reported signs of life.
func (s *suspects) count(now clock.Instant, k lease.Key, witnesses []*wire.Member) (silent, alive int) {
	for _, w := range witnesses {
		r, ok := s.reports[k][lease.KeyOf(w)]
		switch {
		case !ok || now.Sub(r.at) > reportAge:
		case r.lasts >= deadAfter:
			silent++
		default:
			alive++
		}
	}
	return silent, alive
}

// suspect asks the other witnesses of each silent member what they hear of it.
func (c *core) suspect(now clock.Instant) []packet {
	c.suspects.tick(now)
	if !c.isMember() {
		return nil
	}
	var r []packet
	for _, m := range c.epoch.GetMembers() {
		k := lease.KeyOf(m)
		if k == c.key || c.silent(now, k) < deadAfter {
			continue
		}
		l := lease.Witnesses(k, c.epoch.GetMembers())
		if !lease.IsWitness(c.key, l) {
			continue
		}
		r = append(r, c.questions(m, l, c.epoch.GetNumber())...)
	}
	return r
}

func (c *core) silent(now clock.Instant, k lease.Key) time.Duration {
	return c.witness.Silent(now, k, c.suspects.since(now, k))
}

// dead tells whether this member should propose to remove another one now.
func (c *core) dead(now clock.Instant, k lease.Key) bool {
	d := c.silent(now, k)
	if k == c.key || d < deadAfter {
		return false
	}
	l := lease.Witnesses(k, c.epoch.GetMembers())
	for i, w := range l {
		if lease.KeyOf(w) != c.key {
			continue
		}
		silent, alive := c.suspects.count(now, k, l)
		agreed := silent+1 >= lease.Quorum(len(l)) && d >= deadAfter+time.Duration(i)*turn
		alone := alive == 0 && d >= deadAlone+time.Duration(i)*turn
		return agreed || alone
	}
	return false
}

// questions asks each of a member's other witnesses about it.
func (c *core) questions(of *wire.Member, witnesses []*wire.Member, epoch uint64) []packet {
	var r []packet
	for _, w := range witnesses {
		if lease.KeyOf(w) != lease.KeyOf(of) {
			r = append(r, c.questionTo(w, lease.KeyOf(of), epoch))
		}
	}
	return r
}

func (c *core) questionTo(witness *wire.Member, of lease.Key, epoch uint64) packet {
	q := &wire.Question{Subject: uint64(of), Epoch: epoch}
	return c.packet(witness, &wire.Frame{Body: &wire.Frame_Question{Question: q}})
}
