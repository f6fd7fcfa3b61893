package membership

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/lease"
	"github.com/amaranthramp/amaranthramp/wire"
)

// A member is silent while no datagram arrives from it. Its witnesses propose to remove a silent member from the epoch.
const (
	// quorumSilenceTimeout is how long a member must be silent before it is removed, if a quorum of its witnesses hear
	// nothing from it.
	quorumSilenceTimeout = time.Second
	// singleWitnessSilenceTimeout is how long a member must be silent before one witness alone proposes to remove it,
	// because none of the other witnesses reports that it is alive.
	singleWitnessSilenceTimeout = 3 * time.Second
	// reportTTL is how long the report of another witness is valid.
	reportTTL = 500 * time.Millisecond
	// proposalStagger is the delay between the witnesses of one member in proposing its removal.
	proposalStagger = 100 * time.Millisecond
)

// maxTickGap is the longest time between two ticks. After a longer one this process is taken to have been paused
// itself.
const maxTickGap = 500 * time.Millisecond

// failureDetector holds since when this process has been a witness of other members, and what their other witnesses
// reported.
type failureDetector struct {
	// reports are the newest reports, by silent member and then by the witness that sent them.
	reports map[lease.Key]map[lease.Key]silenceReport
	// witnessedSince is, by member, since when this process has been its witness. Silence before that doesn't count.
	witnessedSince map[lease.Key]clock.Instant
	// resumedAt is when this process last resumed after a pause of its own, and tickedAt the time of its last tick.
	resumedAt clock.Instant
	tickedAt  clock.Instant
}

// silenceReport is how long one witness has heard nothing from a member.
type silenceReport struct {
	receivedAt clock.Instant
	duration   time.Duration
}

func newFailureDetector() *failureDetector {
	return &failureDetector{
		reports: map[lease.Key]map[lease.Key]silenceReport{}, witnessedSince: map[lease.Key]clock.Instant{},
	}
}

// setMembers starts to count the silence of the members that this one witnesses. For those that it did not witness
// before, silence counts from now on, because they had no reason to send it anything.
func (s *failureDetector) setMembers(now clock.Instant, self lease.Key, members []*wire.Member) {
	old := s.witnessedSince
	s.witnessedSince = map[lease.Key]clock.Instant{}
	s.reports = map[lease.Key]map[lease.Key]silenceReport{}
	for _, m := range members {
		k := lease.KeyOf(m)
		if k == self || !lease.IsWitness(self, lease.Witnesses(k, members)) {
			continue
		}
		s.witnessedSince[k] = now
		if i, ok := old[k]; ok {
			s.witnessedSince[k] = i
		}
	}
}

func (s *failureDetector) tick(now clock.Instant) {
	if now.Sub(s.tickedAt) > maxTickGap {
		s.resumedAt = now
	}
	s.tickedAt = now
}

// silenceStart returns the earliest time from which a member's silence counts: when this process became its witness or
// last resumed after a pause, whichever is later. For a member that this process is no witness of, it is now.
func (s *failureDetector) silenceStart(now clock.Instant, k lease.Key) clock.Instant {
	i, ok := s.witnessedSince[k]
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

// countReports returns how many of the witnesses recently reported a member as silent, and how many as alive.
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

// askAboutSilentMembers asks the other witnesses of each silent member how long they have heard nothing from it.
func (c *core) askAboutSilentMembers(now clock.Instant) []packet {
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

// shouldProposeRemoval reports whether this member should propose now that another one be removed.
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
		alone := alive == 0 && d >= singleWitnessSilenceTimeout+time.Duration(i)*proposalStagger
		return agreed || alone
	}
	return false
}

// questionsAbout returns a question about the subject for each of the witnesses but the subject itself.
func (c *core) questionsAbout(subject *wire.Member, witnesses []*wire.Member, epoch uint64) []packet {
	var r []packet
	for _, w := range witnesses {
		if lease.KeyOf(w) != lease.KeyOf(subject) {
			r = append(r, c.questionTo(w, lease.KeyOf(subject), epoch))
		}
	}
	return r
}

func (c *core) questionTo(witness *wire.Member, subject lease.Key, epoch uint64) packet {
	q := &wire.Question{Subject: uint64(subject), Epoch: epoch}
	return c.packetTo(witness, &wire.Frame{Body: &wire.Frame_Question{Question: q}})
}
