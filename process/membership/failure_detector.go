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
	quorumSilenceTimeout = time.Second
	// deadAlone is for a member whose other witnesses don't answer either.
	soleSilenceTimeout = 3 * time.Second
	// reportAge is how long a report of another witness counts.
	reportTTL = 500 * time.Millisecond
	// turn is the pause by which the witnesses of one member propose its removal one after another.
	proposalStagger = 100 * time.Millisecond
)

// maxGap is the pause between two ticks from which on this process counts as having been paused itself.
const maxTickGap = 500 * time.Millisecond

// suspects holds what the other witnesses of silent members report.
type failureDetector struct {
	reports map[lease.Key]map[lease.Key]silenceReport
	// known are the instants from which on a member's silence counts.
	countedFrom map[lease.Key]clock.Instant
	// resumed is when this process last went on after a pause of its own, and ticked its last tick.
	resumedAt clock.Instant
	tickedAt  clock.Instant
}

// silence is a report of one witness.
type silenceReport struct {
	receivedAt clock.Instant
	duration   time.Duration
}

func newFailureDetector() *failureDetector {
	return &failureDetector{reports: map[lease.Key]map[lease.Key]silenceReport{}, countedFrom: map[lease.Key]clock.Instant{}}
}

// follow counts the silence of the members that this one witnesses; that of those it did not witness before counts
// from now on, since they had no cause to send it anything.
func (s *failureDetector) setMembers(now clock.Instant, self lease.Key, members []*wire.Member) {
	old := s.countedFrom
	s.countedFrom = map[lease.Key]clock.Instant{}
	s.reports = map[lease.Key]map[lease.Key]silenceReport{}
	for _, m := range members {
		k := lease.KeyOf(m)
		if k == self || !lease.IsWitness(self, lease.Witnesses(k, members)) {
			continue
		}
		s.countedFrom[k] = now
		if i, ok := old[k]; ok {
			s.countedFrom[k] = i
		}
	}
}

func (s *failureDetector) tick(now clock.Instant) {
	if now.Sub(s.tickedAt) > maxTickGap {
		s.resumedAt = now
	}
	s.tickedAt = now
}

// since returns the instant from which on a member's silence counts; that of one not witnessed counts for nothing.
func (s *failureDetector) silenceStart(now clock.Instant, k lease.Key) clock.Instant {
	i, ok := s.countedFrom[k]
	if !ok {
		return now
	}
	return max(i, s.resumedAt)
}

func (s *failureDetector) addReport(now clock.Instant, r *wire.Report) {
	k := lease.Key(r.GetSubject())
	if s.reports[k] == nil {
		s.reports[k] = map[lease.Key]silenceReport{}
	}
	d := time.Duration(r.GetSilentMs()) * time.Millisecond
	s.reports[k][lease.Key(r.GetWitness())] = silenceReport{receivedAt: now, duration: d}
}

// count returns how many of the witnesses lately reported silence, and how many reported signs of life.
func (s *failureDetector) countReports(now clock.Instant, k lease.Key, witnesses []*wire.Member) (silent, alive int) {
	for _, w := range witnesses {
		r, ok := s.reports[k][lease.KeyOf(w)]
		switch {
		case !ok || now.Sub(r.receivedAt) > reportTTL:
		case r.duration >= quorumSilenceTimeout:
			silent++
		default:
			alive++
		}
	}
	return silent, alive
}

// suspect asks the other witnesses of each silent member what they hear of it.
func (c *core) querySilentMembers(now clock.Instant) []packet {
	c.detector.tick(now)
	if !c.isMember() {
		return nil
	}
	var r []packet
	for _, m := range c.epoch.GetMembers() {
		k := lease.KeyOf(m)
		if k == c.key || c.silenceOf(now, k) < quorumSilenceTimeout {
			continue
		}
		l := lease.Witnesses(k, c.epoch.GetMembers())
		if !lease.IsWitness(c.key, l) {
			continue
		}
		r = append(r, c.questionsAbout(m, l, c.epoch.GetNumber())...)
	}
	return r
}

func (c *core) silenceOf(now clock.Instant, k lease.Key) time.Duration {
	return c.witness.SilentFor(now, k, c.detector.silenceStart(now, k))
}

// dead tells whether this member should propose to remove another one now.
func (c *core) shouldProposeRemoval(now clock.Instant, k lease.Key) bool {
	d := c.silenceOf(now, k)
	if k == c.key || d < quorumSilenceTimeout {
		return false
	}
	l := lease.Witnesses(k, c.epoch.GetMembers())
	for i, w := range l {
		if lease.KeyOf(w) != c.key {
			continue
		}
		silent, alive := c.detector.countReports(now, k, l)
		agreed := silent+1 >= lease.Quorum(len(l)) && d >= quorumSilenceTimeout+time.Duration(i)*proposalStagger
		alone := alive == 0 && d >= soleSilenceTimeout+time.Duration(i)*proposalStagger
		return agreed || alone
	}
	return false
}

// questions asks each of a member's other witnesses about it.
func (c *core) questionsAbout(of *wire.Member, witnesses []*wire.Member, epoch uint64) []packet {
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
	return c.packetTo(witness, &wire.Frame{Body: &wire.Frame_Question{Question: q}})
}
