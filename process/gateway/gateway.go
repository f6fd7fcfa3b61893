package gateway

import (
	"context"
	"errors"
	"fmt"
	"log"
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
	"github.com/amaranthramp/amaranthramp/connection/listener"
	"github.com/amaranthramp/amaranthramp/connection/partition"
	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/connection/upstream"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/fleet"
	"github.com/amaranthramp/amaranthramp/request/access"
	"github.com/amaranthramp/amaranthramp/request/allowance"
	"github.com/amaranthramp/amaranthramp/request/caller"
	"github.com/amaranthramp/amaranthramp/request/candidate"
	"github.com/amaranthramp/amaranthramp/request/detour"
	"github.com/amaranthramp/amaranthramp/request/quarantine"
	"github.com/amaranthramp/amaranthramp/request/relay"
	"github.com/amaranthramp/amaranthramp/request/retry"
	"github.com/amaranthramp/amaranthramp/request/warmup"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

const (
	// gcPercent lets the heap grow by 60 % of the live heap between collections. The live heap is a few megabytes, so
	// collecting it costs less processor time than the memory of a larger heap is worth (docs/design/platform.md).
	gcPercent = 60
	// memoryLimitShare is the share of the VM's memory that is set as the soft limit of the garbage collector, which runs
	// more often near it: the heap of a reader of the store grows while many members fetch updates from it at once.
	memoryLimitShare = 0.45
	// bodyShare is the share of the VM's memory for all bodies of requests and responses that are held at a time. The soft
	// limit of the garbage collector leaves room for them beside the rest of the heap.
	bodyShare = 1.0 / 3
	// quarantineDeaths is how many targets may die under a request before it is quarantined. A target that loses
	// responses looks like one that dies, so that two in a row are no proof.
	quarantineDeaths = 3
)

// Gateway is the load balancer process of one VM.
type Gateway struct {
	settings   *Settings
	clock      clock.Clock
	log        zerolog.Logger
	catalog    *catalog.Catalog
	follower   *catalog.Follower
	fleet      *fleet.Fleet
	upstreams  *upstream.Set
	chooser    *candidate.Chooser
	detours    *detour.Router
	loads      *loadExchange
	gate       *access.Gate
	limiter    *allowance.Limiter
	relay      *relay.Relay
	retries    *retry.SlidingWindow
	quarantine *quarantine.Table
	// rollouts is nil on deployments without roll-outs.
	rollouts     *rollouts
	registry     *prometheus.Registry
	metrics      *metrics
	headers      *exchange.Headers
	bodies       *exchange.BodyBudget
	droppedLines func() uint64
	inFlight     *inFlight
	// requests returns the context of all requests, and abandon ends it with a cause.
	requests func() context.Context
	abandon  context.CancelCauseFunc
	// listener accepts callers' connections; it is nil until the gateway runs.
	listener atomic.Pointer[listener.Listener]
	// draining is set when a planned stop begins.
	draining atomic.Bool
	// abandonAt is the instant at which a planned stop abandons the last requests; zero until it finishes those in
	// flight.
	abandonAt atomic.Int64
}

// Store is the store of the platform, from which the catalogue is read and to which statuses of roll-outs are written.
type Store interface {
	catalog.Source
	catalog.RolloutWriter
}

// New returns a gateway that uses the store src and opens connections to targets with dial; droppedLines returns the
// number of log lines dropped so far.
func New(
	s *Settings, store Store, h *exchange.Headers, dial pool.Dial, c clock.Clock, l zerolog.Logger,
	droppedLines func() uint64,
) *Gateway {
	registry := prometheus.NewRegistry()
	src := newInstrumentedSource(store, registry)
	var kinds []catalog.Kind
	if s.Rollout.Enabled() {
		kinds = append(kinds, catalog.Rollouts)
	}
	g := catalog.New(c, l, kinds...)
	bodies := exchange.NewBodyBudget(ident.Bytes(bodyShare * float64(s.Memory)))
	detector := partition.New()
	set := upstream.NewSet(c, l, h, bodies, dial, detector)
	r := catalog.NewFollower(g, src, c, l)
	m := roster.Member{
		Name: s.Name, Address: s.PeerAddress, ForwardAddress: s.ForwardAddress, DataCentre: s.DataCentre,
		Capacity: s.Capacity(),
	}
	bound := fleet.WarmupRateBound{Factor: s.WarmupFactor, Slack: s.WarmupSlack}
	f := fleet.New(m, s.LinkMbps, s.FirstStart, bound, g, r, src, c, l)
	w := warmup.New(c, f.WarmupSenders)
	slack := func() float64 { return f.Share(s.Retry.Slack) }
	b := retry.NewSlidingWindow(c, s.Retry.Share, slack, s.Retry.Window)
	q := quarantine.New(c, quarantineDeaths)
	f.HandleQuarantine(func(m *wire.QuarantineNews, from ident.Address) { q.Handle(m, from, f) })
	x := newLoadExchange(s.DataCentre, g, set, c, l)
	f.ExchangeLoads(x)
	chooser := candidate.New(g, set, s.Name, s.DataCentre, w, f, x, s.ProbeRate, c, l)
	var states relay.Rollouts
	var o *rollouts
	if s.Rollout.Enabled() {
		o = newRollouts(s, uint64(time.Now().UnixNano()), g, f, src, c, l)
		f.HandleRollout(func(m *wire.RolloutMessage, from ident.Address) { o.handle(context.Background(), m, from) })
		chooser.HoldNewVersions()
		registry.MustRegister(o)
		states = o
	}
	k := access.NewGate(access.Policy{Strict: s.Revocation.Strict, Within: s.Revocation.Within}, f.ConfirmedAt, c)
	d := detour.New(g, detector, f, peer.NewClient(bodies, c), c, l)
	y := &Gateway{
		settings: s, clock: c, log: l, catalog: g, follower: r, fleet: f, upstreams: set, chooser: chooser, detours: d,
		loads: x, gate: k, relay: relay.New(g, chooser, d, states, b, q, k, c, l), quarantine: q, rollouts: o,
		retries: b, registry: registry, headers: h, bodies: bodies, droppedLines: droppedLines,
		inFlight: newInFlight(c, l),
	}
	requests, abandon := context.WithCancelCause(context.Background())
	y.requests, y.abandon = func() context.Context { return requests }, abandon
	y.limiter = allowance.New(f, y.limitOf, c, l)
	f.HandleAllowance(y.limiter.Handle)
	f.ManageKeepers(y.limiter, allowance.HandoverDelay)
	f.HandleReach(func(m *wire.ReachNews, from ident.Address) { d.Handle(m, from, y.acceptsForwarded()) })
	y.registry.MustRegister(collectors.NewGoCollector())
	y.metrics = newMetrics(y.registry, y)
	return y
}

// Run serves requests until the context is cancelled, then stops accepting and finishes the requests in flight.
func (g *Gateway) Run(ctx context.Context) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if m := g.settings.Memory; m > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(m)))
	}
	h := &handler{
		catalog: g.catalog, gate: g.gate, limiter: g.limiter, relay: g.relay, headers: g.headers, bodies: g.bodies,
		clock: g.clock, ages: caller.NewAges(), endsTooLate: g.endsTooLate, metrics: g.metrics, log: g.log,
	}
	callers, err := g.listenForCallers(h)
	if err != nil {
		return err
	}
	servers := []struct {
		address ident.Address
		handler http.Handler
	}{
		{g.settings.ReadyAddress, http.HandlerFunc(g.serveReadiness)},
		{g.settings.OperatorAddress, g.operatorHandler()},
	}
	errs := make(chan error, len(servers)+3)
	go func() { errs <- callers.serve() }()
	forwarded, err := g.serveForwarded(errs)
	if err != nil {
		return err
	}
	for _, s := range servers {
		l, err := net.Listen("tcp", string(s.address))
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: defaultHeaderTimeout, ErrorLog: g.errorLog()}
		go func() { errs <- server.Serve(listener.New(l, g.log)) }()
	}
	// The background goroutines keep running until the planned stop is over.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.startBackground(background, callers, errs)
	g.log.Info().Str("CallerAddress", string(g.settings.CallerAddress)).
		Str("DataCentre", string(g.settings.DataCentre)).Msg("gateway started")
	select {
	case err := <-errs:
		g.log.Error().Err(err).Msg("server failed")
		return errors.Join(fmt.Errorf("serve: %w", err), g.stop(callers, forwarded))
	case <-ctx.Done():
		return g.stop(callers, forwarded)
	}
}

// startBackground starts the goroutines that run until the context ends. An error of the fleet goes to errs.
func (g *Gateway) startBackground(ctx context.Context, s *callerServer, errs chan<- error) {
	go g.follower.Run(ctx)
	go func() {
		if err := g.fleet.Run(ctx); err != nil {
			errs <- err
		}
	}()
	go g.quarantine.Gossip(ctx, g.fleet)
	go g.detours.Run(ctx, g.chooser)
	go g.loads.run(ctx, g.fleet)
	go g.followCatalog(ctx, s)
	go g.limiter.Run(ctx)
	if g.rollouts != nil {
		go g.rollouts.run(ctx)
	}
	go g.handleReload(ctx)
}

// listenForCallers returns a server that passes callers' requests to h.
func (g *Gateway) listenForCallers(h http.Handler) (*callerServer, error) {
	l, err := net.Listen("tcp", string(g.settings.CallerAddress))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	n := listener.New(l, g.log)
	g.listener.Store(n)
	track := func(next http.Handler) http.Handler { return g.inFlight.track(g.headers.RequestID, next) }
	c := alice.New(track, listener.CloseOnStop(g.draining.Load)).Then(h)
	return newCallerServer(n, c, g.errorLog(), g.requests), nil
}

// errorLog returns the logger for the errors that HTTP servers report themselves.
func (g *Gateway) errorLog() *log.Logger {
	return log.New(g.log.With().Str("Source", "HTTP server").Logger(), "", 0)
}

// followCatalog applies each new view of the catalog: it closes the connections to targets that are gone, and sets the
// limits of the configuration and the members among which the keepers of allowances are chosen.
func (g *Gateway) followCatalog(ctx context.Context, s *callerServer) {
	for {
		c := g.catalog.Changed()
		v := g.catalog.Get()
		g.upstreams.RetainRegistered(v.Roster)
		g.chooser.Observe(v.Roster)
		if v.Table != nil {
			s.setLimits(v.Table.Limits)
		}
		if v.Complete && v.Table != nil && v.Table.Teams != nil {
			own, _ := v.StateOf(g.settings.Name)
			g.limiter.SetMembers(allowance.MemberSet{
				Registered: v.Members, Keepers: v.Keepers, Returning: own.Standing == catalog.Returning,
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-c:
		}
	}
}

// handleReload logs SIGHUP and changes nothing: the settings can't change while the process runs, since the addresses
// and limits are those of the VM, and everything else is read from the store.
func (g *Gateway) handleReload(ctx context.Context) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	defer signal.Stop(c)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c:
			g.log.Info().Msg("SIGHUP received; changed settings take effect at the next start")
		}
	}
}

// serveReadiness answers 200 while this VM accepts new connections: it has a copy of all kinds of objects in the
// store, the copy was known to be current at least once, and no planned stop has begun. Otherwise it answers 503.
func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if g.draining.Load() || !g.catalog.Get().Complete || g.fleet.ConfirmedAt() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// operatorHandler serves the metrics, the dump and the answers to questions about requests.
func (g *Gateway) operatorHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /metrics", promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{}))
	m.HandleFunc("GET /dump", g.serveDump)
	m.HandleFunc("POST /where", g.serveWhere)
	return m
}
