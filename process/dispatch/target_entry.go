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

// Exchanger sends a call to one target; check is asked immediately before the first byte is written.
type Exchanger interface {
	Do(ctx context.Context, c *call.Call, h http.Header, check func() outcome.Reason) exchange.Result
}

// ExchangerFactory returns the exchanger to one target of a service.
type ExchangerFactory func(s *config.Service, a ident.Address) Exchanger

// targetEntry is one target of a schedule.
type targetEntry struct {
	name      ident.Upstream
	address   ident.Address
	target    *target.Target
	exchanger Exchanger
	// lastStart is when a request lastStart started here.
	lastStart clock.Instant
	// busyUntil is when the last request that started here must have ended.
	busyUntil clock.Instant
	// announcedLeaving is when the target itself last said that it is leaving; listed tells whether the view says so.
	announcedLeaving clock.Instant
	listedLeaving    bool
	probes           *probe.Budget
}

// leavingAnnouncementTTL is how long a target that said that it is leaving gets no work although nobody else says so.
const leavingAnnouncementTTL = time.Minute

// isLeaving reports whether the target must get no new work.
func (p *targetEntry) isLeaving(now clock.Instant) bool {
	return p.listedLeaving || (p.announcedLeaving > 0 && now.Sub(p.announcedLeaving) < leavingAnnouncementTTL)
}

// updateLeaving moves the target between leaving and staying.
func (p *targetEntry) updateLeaving(now clock.Instant) {
	if p.isLeaving(now) {
		p.target.Leave()
		return
	}
	p.target.Return()
}

// setListed notes what operators and the platform say; a target that came off the setListed stays after all.
func (p *targetEntry) setListed(now clock.Instant, leaving bool) {
	if p.listedLeaving && !leaving {
		p.announcedLeaving = 0
	}
	p.listedLeaving = leaving
	p.updateLeaving(now)
}

// reserve reserves the place for one request.
func (p *targetEntry) reserve(now, deadline clock.Instant) *reservation {
	p.lastStart, p.busyUntil = now, max(p.busyUntil, deadline)
	p.target.Begin(now)
	return &reservation{entry: p, startedAt: now}
}

// reservation is one request's hold on a place.
type reservation struct {
	entry     *targetEntry
	startedAt clock.Instant
}
