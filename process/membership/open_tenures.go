package membership

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// The timing of questions about the open tenures of earlier epochs.
const (
	questionInterval = tickInterval
	// ownerOnlyPeriod is how long only the owner of a tenure is asked, because a running owner answers at once. The
	// witnesses of this member's own tenures are asked from the start, since other members wait for this member to
	// close them.
	ownerOnlyPeriod = 150 * time.Millisecond
)

// askAboutOpenTenures asks the owners of open tenures whether these are closed, and after ownerOnlyPeriod their
// witnesses too.
func (c *core) askAboutOpenTenures(now clock.Instant) []packet {
	if c.self == nil || now.Sub(c.questionsSentAt) < questionInterval {
		return nil
	}
	c.questionsSentAt = now
	var r []packet
	for _, t := range c.tenures.listedTenures {
		p := c.tenures.states[t]
		if p.closed {
			continue
		}
		if t.owner == c.key {
			if !p.noDeputy {
				for _, w := range p.witnesses {
					r = append(r, c.questionTo(w, t.owner, t.epoch))
				}
			}
			continue
		}
		r = append(r, c.questionTo(p.member, t.owner, t.epoch))
		if now.Sub(c.adoptedAt) >= ownerOnlyPeriod {
			r = append(r, c.questionsAbout(p.member, p.witnesses, t.epoch)...)
		}
	}
	return r
}
