package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/justinas/alice"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/connection/upstream"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/fleet"
	"github.com/amaranthramp/amaranthramp/request/candidate"
	"github.com/amaranthramp/amaranthramp/request/relay"
	"github.com/amaranthramp/amaranthramp/request/retry"
	"github.com/amaranthramp/amaranthramp/request/warmup"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

const (
	// gcPercent lets the heap grow by 0.6 of what is live. A VM holds a few megabytes, whose collection takes less
	// processor time than the memory of a larger heap is worth (docs/design/platform.md).
	gcPercent = 60
	// memoryShare is the part of the VM's memory above which the collector runs more often: a reader's heap grows while
	// many members fetch from it at once.
	memoryShare = 0.4
)

// Gateway is the process of one VM.
type Gateway struct {
	settings *Settings
	clock    clock.Clock
	log      zerolog.Logger
	catalog  *catalog.Catalog
	follower *catalog.Follower
	fleet    *fleet.Fleet
	set      *upstream.Set
	relay    *relay.Relay
	registry *prometheus.Registry
	metrics  *metrics
	headers  *exchange.Headers
	dropped  func() uint64
	// draining is set once a planned stop has begun.
	draining atomic.Bool
}

// New returns a gateway that reads the source; dropped counts the log lines that were dropped.
func New(s *Settings, src catalog.Source, h *exchange.Headers, c clock.Clock, l zerolog.Logger, dropped func() uint64,
) *Gateway {
	registry := prometheus.NewRegistry()
	src = newCountedSource(src, registry)
	g := catalog.New(c, l)
	set := upstream.NewSet(c, l, h, pool.DialTCP)
	r := catalog.NewFollower(g, src, c, l)
	m := roster.Member{Name: s.Name, Address: s.PeerAddress, DataCentre: s.DataCentre, Capacity: s.Capacity()}
	f := fleet.New(m, s.LinkMbps, fleet.ColdBound{Factor: s.WarmupFactor, Slack: s.WarmupSlack}, g, r, src, c, l)
	w := warmup.New(c, f.Sponsors)
	b := retry.NewWindow(c, s.Retry.Share, func() float64 { return s.Retry.Slack / float64(f.Members()) }, s.Retry.Window)
	y := &Gateway{
		settings: s, clock: c, log: l, catalog: g, follower: r, fleet: f, set: set,
		relay:    relay.New(g, candidate.New(g, set, s.Name, s.DataCentre, w, f.Members, s.ProbeRate, c, l), b, c, l),
		registry: registry, headers: h, dropped: dropped,
	}
	y.registry.MustRegister(collectors.NewGoCollector())
	y.metrics = newMetrics(y.registry, y)
	return y
}

// Run serves until the context ends, then finishes the requests in flight.
func (g *Gateway) Run(ctx context.Context) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if m := g.settings.Memory; m > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(m)))
	}
	h := &handler{catalog: g.catalog, relay: g.relay, headers: g.headers, clock: g.clock, metrics: g.metrics, log: g.log}
	callers, err := net.Listen("tcp", string(g.settings.CallerAddress))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	front := newFront(callers, alice.New(g.closing).Then(h))
	servers := []struct {
		address ident.Address
		handler http.Handler
	}{
		{g.settings.ReadyAddress, http.HandlerFunc(g.ready)},
		{g.settings.OperatorAddress, g.operators()},
	}
	failed := make(chan error, len(servers)+2)
	go func() { failed <- front.serve() }()
	for _, s := range servers {
		l, err := net.Listen("tcp", string(s.address))
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: defaultHeaderTimeout}
		go func() { failed <- server.Serve(l) }()
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	go g.follower.Run(life)
	go func() {
		if err := g.fleet.Run(life); err != nil {
			failed <- err
		}
	}()
	go g.followCatalog(life, front)
	go g.reload(life)
	g.log.Info().Str("CallerAddress", string(g.settings.CallerAddress)).
		Str("DataCentre", string(g.settings.DataCentre)).Msg("gateway started")
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		return g.stop(front)
	}
}

// followCatalog drops the connections to targets that are gone, and applies the limits of the configuration.
func (g *Gateway) followCatalog(ctx context.Context, f *front) {
	for {
		c := g.catalog.Changed()
		v := g.catalog.Get()
		g.set.Follow(v.Roster)
		if v.Table != nil {
			f.apply(v.Table.Limits)
		}
		select {
		case <-ctx.Done():
			return
		case <-c:
		}
	}
}

// reload notes SIGHUP. Nothing in the settings can change while the process lives: addresses and bounds are those of
// the VM, and all else is read from the store.
func (g *Gateway) reload(ctx context.Context) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	defer signal.Stop(c)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c:
			g.log.Info().Msg("settings changed; they hold from the next start")
		}
	}
}

// ready answers whether this VM takes new connections.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.draining.Load() || !g.catalog.Get().Complete || g.fleet.Confirmed() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (g *Gateway) operators() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /metrics", promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{}))
	m.HandleFunc("GET /dump", g.serveDump)
	return m
}

// closing asks callers to close their connections once a planned stop has begun.
func (g *Gateway) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

const (
	// announceTime is how long the platform's balancer has to see that the VM isn't ready: two questions, one a second.
	announceTime = 2500 * time.Millisecond
	// stopReserve is what is left of the time to stop when the last requests are given up.
	stopReserve = 300 * time.Millisecond
)

// stop is the planned stop: not ready any more, new connections for as long as the balancer may send some, then the
// requests in flight to their end.
func (g *Gateway) stop(f *front) error {
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.Grace-stopReserve)
	defer cancel()
	g.draining.Store(true)
	g.log.Info().Msg("planned stop begins")
	time.Sleep(min(announceTime, g.settings.Grace/2))
	err := f.shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		g.log.Warn().Msg("planned stop ends with requests in flight")
		return nil
	}
	g.log.Info().Msg("planned stop ends")
	return err
}
