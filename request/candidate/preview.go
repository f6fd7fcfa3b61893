package candidate

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/upstream"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// TargetPreview is a registered target of a service as a choice would see it now.
type TargetPreview struct {
	Target     ident.Target
	DataCentre ident.DataCentre
	Version    ident.TargetVersion
	// Excluded is why the target would not be considered; empty if it would.
	Excluded string
	// Subset is whether the target is among those that this VM uses as long as they have capacity.
	Subset bool
	Cold   bool
	// Reported is whether the target has reported its load to this VM, Age how long ago, and Running, Waiting and Slots
	// what it reported. Score estimates the latency of one more request as a multiple of that on an idle target.
	Reported                bool
	Age                     time.Duration
	Running, Waiting, Slots int
	Score                   float64
	// InFlight is the number of this VM's own requests at the target.
	InFlight int
}

// Preview returns the registered targets of a service in the order in which a choice would prefer them by their last
// reports: those of the data centre considered first before the others, those of the subset first, and excluded ones
// last. It changes nothing: it probes no target, takes no token and creates no upstream. A choice itself probes some of
// the targets, so that newer reports may change the order.
func (c *Chooser) Preview(s *route.Service, first ident.DataCentre) []TargetPreview {
	v := c.catalog.Get()
	known := map[roster.Incarnation]*upstream.Upstream{}
	for _, u := range c.upstreams.All() {
		known[u.Target.Incarnation()] = u
	}
	now := c.clock.Now()
	var l []TargetPreview
	for _, t := range v.Roster.All() {
		if t.Service != s.Name {
			continue
		}
		p := TargetPreview{
			Target: t.ID, DataCentre: t.DataCentre, Version: t.Version, Cold: now < t.ColdUntil, Slots: int(t.Slots),
		}
		switch {
		case v.Roster.Evacuated(t.DataCentre):
			p.Excluded = "data centre is evacuated"
		case t.Draining:
			p.Excluded = "target drains"
		}
		if u := known[t.Incarnation()]; u != nil {
			c.previewUpstream(&p, u, now)
		}
		if d := c.holds.left(&t, now); p.Excluded == "" && d > 0 {
			p.Excluded = fmt.Sprintf("version is new; held back for %s", d)
		}
		l = append(l, p)
	}
	c.markSubset(l, first)
	slices.SortFunc(l, func(a, b TargetPreview) int {
		return cmp.Or(
			compareBool(b.Excluded == "", a.Excluded == ""), compareBool(b.DataCentre == first, a.DataCentre == first),
			compareBool(b.Subset, a.Subset), cmp.Compare(a.Score, b.Score), cmp.Compare(a.Target, b.Target),
		)
	})
	return l
}

// previewUpstream adds what this VM knows of a target.
func (c *Chooser) previewUpstream(p *TargetPreview, u *upstream.Upstream, now clock.Instant) {
	r := u.LastReport()
	p.InFlight = u.InFlight()
	p.Cold = p.Cold || now < u.WarmupEnd()
	if r.At != 0 {
		p.Reported, p.Age = true, now.Sub(r.At)
		p.Running, p.Waiting = r.Running, r.Waiting
		p.Score = score(&r, u.SentSince(r.At))
		if p.Cold {
			p.Score *= coldPenalty
		}
	}
	if p.Excluded != "" {
		return
	}
	switch {
	case u.Leaving():
		p.Excluded = "target has announced that it leaves"
	case u.QuietFor() > 0:
		p.Excluded = fmt.Sprintf("target has asked for a pause of another %s", u.QuietFor())
	case u.LimitWait(c.fleet.LimitGap) > 0:
		p.Excluded = fmt.Sprintf("this VM's part of the target's limit is used for %s", u.LimitWait(c.fleet.LimitGap))
	case !u.Trusted():
		p.Excluded = "target is " + u.TrustState() + " after failures"
	}
}

// markSubset marks the targets that this VM uses as long as they have capacity.
func (c *Chooser) markSubset(l []TargetPreview, first ident.DataCentre) {
	for _, g := range []struct {
		local bool
		size  int
	}{{true, localSubsetSize}, {false, remoteSubsetSize}} {
		var k []*TargetPreview
		for i := range l {
			if p := &l[i]; p.Excluded == "" && (p.DataCentre == first) == g.local {
				k = append(k, p)
			}
		}
		slices.SortFunc(k, func(a, b *TargetPreview) int {
			return cmp.Compare(c.affinity(a.Target), c.affinity(b.Target))
		})
		for _, p := range k[:min(len(k), g.size)] {
			p.Subset = true
		}
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
