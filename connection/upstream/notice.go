package upstream

import (
	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// notices holds what one incarnation of a target has asked of this VM, and what it takes to comply. The zero value is a
// target that asked for nothing.
type notices struct {
	// leaving means that the target has announced that it leaves. Only a new incarnation takes that back.
	leaving bool
	// quietUntil is until when the target wants no requests from this VM.
	quietUntil clock.Instant
	// limit is how many requests the target takes from all VMs together, if limited is true. limitInProbes means that
	// responses to probes name it too.
	limit         ident.Rate
	limited       bool
	limitInProbes bool
	// limitedAt is when the target began to name a limit, and lastSend when this VM last sent it a request.
	limitedAt clock.Instant
	lastSend  clock.Instant
}

// record returns the notices after one more response of the target. A shorter pause does not end a longer one early.
func (n notices) record(now clock.Instant, r exchange.Notice) notices {
	n.leaving = n.leaving || r.Leaving
	if r.QuietFor > 0 {
		n.quietUntil = max(n.quietUntil, now.Add(r.QuietFor))
	}
	switch {
	case r.Limited:
		if !n.limited {
			n.limitedAt, n.lastSend = now, 0
		}
		n.limit, n.limited = r.Limit, true
		n.limitInProbes = n.limitInProbes || r.FromProbe()
	case r.EndsLimit(n.limitInProbes):
		n.limit, n.limited = 0, false
	}
	return n
}

// accepts reports whether the target may be sent requests and probes now.
func (n notices) accepts(now clock.Instant) bool {
	return !n.leaving && now >= n.quietUntil
}
