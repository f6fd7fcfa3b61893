package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/amaranthramp/amaranthramp/connection/listener"
	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/credential"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// maxForwarded bounds the requests of other VMs that this VM handles at a time, each of which it holds in memory.
const maxForwarded = 256

// forwardedDispatcher handles the requests that VMs without a path to the targets send here.
type forwardedDispatcher struct {
	gateway *Gateway
	slots   chan struct{}
}

// Dispatch sends a call to a target, or refuses it at once.
func (d *forwardedDispatcher) Dispatch(ctx context.Context, c *call.Call) call.Answer {
	a := d.dispatch(ctx, c)
	d.gateway.metrics.forwarded.WithLabelValues(string(a.Outcome), string(a.Reason)).Inc()
	return a
}

func (d *forwardedDispatcher) dispatch(ctx context.Context, c *call.Call) call.Answer {
	if !d.gateway.acceptsForwarded() {
		return call.NotRun(outcome.Unreachable)
	}
	t := d.gateway.catalog.Get().Table
	if t == nil {
		return call.NotRun(outcome.NoService)
	}
	if t.Teams != nil {
		// The configuration of the other VM may have no teams yet, so that it passed the caller's headers on.
		credential.Strip(c.Header, d.gateway.headers.Team)
	}
	select {
	case d.slots <- struct{}{}:
		defer func() { <-d.slots }()
		return d.gateway.relay.DoForwarded(ctx, t, c)
	default:
		return call.NotRun(outcome.Unreachable)
	}
}

// acceptsForwarded reports whether this VM handles requests of other VMs: it knows the whole store and does not stop.
func (g *Gateway) acceptsForwarded() bool {
	return !g.draining.Load() && g.catalog.Get().Complete
}

// serveForwarded accepts requests of other VMs, if this VM has an address for them, until the returned server is shut
// down.
func (g *Gateway) serveForwarded(errs chan<- error) (*http.Server, error) {
	d := &forwardedDispatcher{gateway: g, slots: make(chan struct{}, maxForwarded)}
	s := &http.Server{
		Handler: peer.NewMux(d, g.bodies, g.clock), ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout: defaultIdleTimeout,
		ErrorLog:    g.errorLog(), BaseContext: func(net.Listener) context.Context { return g.requests() },
	}
	if g.settings.ForwardAddress == "" {
		return s, nil
	}
	l, err := net.Listen("tcp", string(g.settings.ForwardAddress))
	if err != nil {
		return nil, fmt.Errorf("listen for other VMs: %w", err)
	}
	go func() { errs <- s.Serve(listener.New(l, g.log)) }()
	return s, nil
}
