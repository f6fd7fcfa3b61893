package membership

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/lease"
	"github.com/amaranthramp/amaranthramp/wire"
)

// A member is removed from the epoch after it has been silent, that is, has sent no datagram, for a time.
const (
	// quorumSilenceTimeout is that time if a quorum of the member's witnesses hear nothing from it.
	quorumSilenceTimeout = time.Second
	// soleSilenceTimeout is that time if the other witnesses of the member don't answer either.
	soleSilenceTimeout = 3 * time.Second
	// reportTTL is how long the report of another witness is valid.
	reportTTL = 500 * time.Millisecond
	// proposalStagger is the delay between the witnesses of one member in proposing its removal.
	proposalStagger = 100 * time.Millisecond
)

// maxTickGap is the longest time between two ticks. After a longer one this process is taken to have been paused
// itself.
const maxTickGap = 500 * time.Millisecond

// failureDetector holds the times from which the silence of members counts, and what their other witnesses report.
type failureDetector struct {
	reports map[lease.Key]map[lease.Key]silenceReport
	// countedFrom is, by member, the time from which its silence counts.
	countedFrom map[lease.Key]clock.Instant
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
		reports: map[lease.Key]map[lease.Key]silenceReport{}, countedFrom: map[lease.Key]clock.Instant{},
	}
}

// setMembers starts to count the silence of the members that this one witnesses. For those that it did not witness
// before, silence counts from now on, because they had no reason to send it anything.
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

// silenceStart returns the time from which a member's silence counts: now for a member that this one doesn't witness.
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

// querySilentMembers asks the other witnesses of each silent member how long they have heard nothing from it.
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
		alone := alive == 0 && d >= soleSilenceTimeout+time.Duration(i)*proposalStagger
		return agreed || alone
	}
	return false
}

// questionsAbout returns a question about a member for each of its other witnesses.
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
