package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/probe"
	"github.com/amaranthramp/amaranthramp/process/target"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// Exchanger sends a call to one target. It calls check immediately before the first byte is written and sends nothing
// if check returns a reason.
type Exchanger interface {
	Do(ctx context.Context, c *call.Call, h http.Header, check func() outcome.Reason) exchange.Result
}

// ExchangerFactory returns the exchanger for one target of a service.
type ExchangerFactory func(s *config.Service, a ident.Address) Exchanger

// targetEntry is one target of a scheduler.
type targetEntry struct {
	name      ident.Upstream
	address   ident.Address
	target    *target.Target
	exchanger Exchanger
	// lastStart is when a slot was last reserved here.
	lastStart clock.Instant
	// latestDeadline is the latest deadline of the requests that started here, by which they must have ended.
	latestDeadline clock.Instant
	// announcedLeavingAt is when the target itself last announced that it is leaving; listedLeaving means that the view
	// lists it as leaving.
	announcedLeavingAt clock.Instant
	listedLeaving      bool
	// probeBudget limits the slot time that probes of the target may use.
	probeBudget *probe.Budget
}

// leavingAnnouncementTTL is how long a target that announced that it is leaving gets no new requests although the view
// doesn't list it as leaving.
const leavingAnnouncementTTL = time.Minute

// isLeaving reports whether the target must get no new requests.
func (p *targetEntry) isLeaving(now clock.Instant) bool {
	return p.listedLeaving || (p.announcedLeavingAt > 0 && now.Sub(p.announcedLeavingAt) < leavingAnnouncementTTL)
}

// updateLeaving makes the target leave or return.
func (p *targetEntry) updateLeaving(now clock.Instant) {
	if p.isLeaving(now) {
		p.target.Leave()
		return
	}
	p.target.Return()
}

// setListed records whether operators or the platform list the target as leaving. When they no longer list it, its own
// announcement is discarded too.
func (p *targetEntry) setListed(now clock.Instant, leaving bool) {
	if p.listedLeaving && !leaving {
		p.announcedLeavingAt = 0
	}
	p.listedLeaving = leaving
	p.updateLeaving(now)
}

// reserve reserves a slot at the target for one request.
func (p *targetEntry) reserve(now, deadline clock.Instant) *reservation {
	p.lastStart, p.latestDeadline = now, max(p.latestDeadline, deadline)
	p.target.Begin(now)
	return &reservation{entry: p, startedAt: now}
}

// reservation is the slot that one request holds at a target.
type reservation struct {
	entry     *targetEntry
	startedAt clock.Instant
}
