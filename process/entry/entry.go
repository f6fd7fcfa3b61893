package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/justinas/alice"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/listener"
	"github.com/amaranthramp/amaranthramp/connection/peer"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/dispatch"
	"github.com/amaranthramp/amaranthramp/process/handover"
	"github.com/amaranthramp/amaranthramp/process/link"
	"github.com/amaranthramp/amaranthramp/process/ring"
	"github.com/amaranthramp/amaranthramp/process/settings"
	"github.com/amaranthramp/amaranthramp/process/shard"
	"github.com/amaranthramp/amaranthramp/process/view"
	"github.com/amaranthramp/amaranthramp/request/caller"
	"github.com/amaranthramp/amaranthramp/request/choice"
	"github.com/amaranthramp/amaranthramp/request/claim"
	"github.com/amaranthramp/amaranthramp/request/forward"
	"github.com/amaranthramp/amaranthramp/request/quarantine"
	"github.com/amaranthramp/amaranthramp/request/retry"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/version/delta"
	"github.com/amaranthramp/amaranthramp/wire"
)

// redialDelay is the pause before the next attempt to connect to the control process.
const redialDelay = 100 * time.Millisecond

// quarantineDeaths is how many upstreams may die under a request before it is quarantined.
const quarantineDeaths = 2

// Entry is the entry process of a VM.
type Entry struct {
	settings    *settings.Settings
	incarnation string
	clock       clock.Clock
	log         zerolog.Logger
	views       *view.Holder
	dispatcher  *dispatch.Dispatcher
	forwarder   *claim.Forwarder
	claimer     *claim.Claimer
	replicas    *claim.Replicas
	quarantine  *quarantine.Table
	registry    *prometheus.Registry
	metrics     *metrics
	peers       *peer.Client
	// viewNotice gets an item after each view that is stored.
	viewNotice *ring.Ring[struct{}]
	sender     *handover.Sender
	// listeners accept the connections of callers, other members and operators.
	listeners []*listener.Listener
	// stopping is set once a planned stop has begun.
	stopping atomic.Bool
	// leaveNotice gets an item when the control process is to be notified of the planned stop.
	leaveNotice *ring.Ring[struct{}]
	// mu serializes views that arrive over two links while one replaces the other.
	mu sync.Mutex
}

// New returns an entry process. The incarnation must differ from that of every earlier start of the process.
func New(s *settings.Settings, incarnation string, c clock.Clock, l zerolog.Logger) *Entry {
	v := view.NewHolder()
	q := quarantine.New(c, quarantineDeaths)
	p := peer.NewClient(exchange.NewBodyBudget(0), c)
	x := dispatch.NewExchangerFactory(c, pool.DialTCP)
	d := dispatch.New(v, &shard.TableCache{}, c, retry.NewBudget(), q, handover.NewInbox(c), p, x)
	t := claim.NewTransport(p)
	k := claim.NewReplicas(v, t, c, time.Now)
	t.SetLocal(k)
	m := claim.NewClaimer(v, t, c, clock.Sleep)
	e := &Entry{
		settings: s, incarnation: incarnation, clock: c, log: l, views: v, dispatcher: d, claimer: m, replicas: k,
		quarantine: q, peers: p,
		forwarder:  claim.NewForwarder(m, forward.New(v, d, p, choice.New(c), retry.NewBudget(), c)),
		viewNotice: ring.New[struct{}](1), sender: handover.NewSender(d, p),
		leaveNotice: ring.New[struct{}](1), registry: prometheus.NewRegistry(),
	}
	e.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	e.metrics = newMetrics(e.registry, e)
	return e
}

// headerTimeout bounds how long a connection may take to send the header of a request, so that slow connections don't
// accumulate.
const headerTimeout = 10 * time.Second

// gcPercent lets the heap grow to five times the live heap between two garbage collections: the live heap of an entry
// process is small, and each collection takes CPU time from the requests in flight.
const gcPercent = 400

// Run serves until the context ends, then drains.
func (e *Entry) Run(ctx context.Context) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	a := e.settings.Entry
	f := &countingForwarder{next: e.forwarder, metrics: e.metrics, clock: e.clock}
	mux := peer.NewMux(e.dispatcher, exchange.NewBodyBudget(0), e.clock)
	mux.Register(claim.Kind, e.replicas.Receive)
	mux.Register(quarantine.Kind, e.quarantine.Receive)
	mux.Register(handover.Kind, e.dispatcher.ReceiveHandover)
	mux.Register(handover.QueryKind, e.dispatcher.AnswerHandoverQuery)
	c := listener.CloseOnStop(e.stopping.Load)
	servers := []*http.Server{
		{Addr: string(a.CallerAddress), Handler: alice.New(c).Then(caller.New(e.views, f, e.clock))},
		{Addr: string(a.PeerAddress), Handler: alice.New(c).Then(mux)},
		{Addr: string(a.OperatorAddress), Handler: e.operatorHandler()},
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		s.ReadHeaderTimeout = headerTimeout
		l, err := net.Listen("tcp", s.Addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		n := listener.New(l, e.log)
		e.listeners = append(e.listeners, n)
		go func() { failed <- s.Serve(n) }()
	}
	// The background tasks keep running while the process drains, so ctx must not cancel them.
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go e.maintainLink(serveCtx)
	go e.replicas.Run(serveCtx)
	go e.dispatcher.Run(serveCtx)
	go e.sender.Run(serveCtx)
	go e.quarantine.Broadcast(serveCtx, e.views, e.peers)
	e.log.Info().Str("CallerAddress", string(a.CallerAddress)).Msg("entry process started")
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		return e.drain(servers)
	}
}

// maintainLink connects to the control process and reconnects whenever the link is lost. Without a link the last view
// stays in use and the lease expires.
func (e *Entry) maintainLink(ctx context.Context) {
	for ctx.Err() == nil {
		c, err := link.Dial(ctx, e.settings.Control.LinkAddress, link.Handlers{View: e.applyView})
		if err == nil {
			err = c.SendHello(ctx, &wire.Hello{
				Incarnation: e.incarnation, PeerAddress: string(e.settings.Entry.PeerAddress),
			})
		}
		if err == nil {
			e.reportStatus(ctx, c)
			c.Close()
		}
		waitFor(ctx, time.After(redialDelay))
	}
}

// reportStatus reports to the control process, after each view, which configuration and epoch are in force. It also
// announces a planned stop. It returns when the link ends.
func (e *Entry) reportStatus(ctx context.Context, c *link.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Done():
			return
		case <-e.leaveNotice.Out():
			_ = c.SendLeave(ctx, &wire.Leave{})
			continue
		case <-e.viewNotice.Out():
		}
		v := e.views.Get()
		_ = c.SendStatus(ctx, &wire.Status{
			ConfigurationVersion: uint64(v.Version), Epoch: v.Epoch.GetNumber(), InFlight: int64(e.dispatcher.InFlight()),
		})
	}
}

// applyView stores a view from the control process; the configuration is parsed only if its version is newer than the
// one in force.
//
// A view of the same member with an earlier epoch than the current one is ignored: it comes from a link that has been
// replaced, and other members have already been told that the later epoch is in force.
func (e *Entry) applyView(m *wire.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.views.Get()
	if m.GetEpoch() == nil && !sameEpoch(m, old) {
		return
	}
	if m.GetEpoch() == nil {
		m.Epoch = old.Epoch
	}
	if m.GetSelf() == string(old.Self) && m.GetEpoch().GetNumber() < old.Epoch.GetNumber() {
		return
	}
	v := &view.View{
		Self:             ident.Member(m.GetSelf()),
		Epoch:            m.GetEpoch(),
		Version:          old.Version,
		Config:           old.Config,
		LeaseUntil:       clock.Instant(m.GetLeaseUntil()),
		Deputies:         deputiesOf(m),
		LeavingUpstreams: map[ident.Address]bool{},
	}
	for _, a := range m.GetLeavingUpstreams() {
		v.LeavingUpstreams[ident.Address(a)] = true
	}
	if n := ident.Version(m.GetConfigurationVersion()); n > old.Version {
		c, err := decodeConfig(m, old)
		if err == nil {
			v.Version, v.Config = n, c
			e.log.Info().Str("Version", n.String()).Msg("configuration in force")
		} else {
			// Epoch and lease are used nevertheless; the witnesses soon stop renewing the lease of an owner with an old
			// version.
			e.log.Error().Err(err).Msg("configuration rejected; the previous version stays in force")
		}
	}
	if proto.Equal(v.Epoch, old.Epoch) {
		v.Epoch = old.Epoch
	}
	e.views.Set(v)
	e.viewNotice.Replace(struct{}{})
}

// deputiesOf returns the deputies of silent members, by the silent member. It omits deputies that are not members of
// the epoch.
func deputiesOf(m *wire.View) map[ident.Member]view.Deputy {
	l := map[ident.Member]view.Deputy{}
	for _, d := range m.GetDeputies() {
		for _, o := range m.GetEpoch().GetMembers() {
			if o.GetId() == d.GetBy() {
				l[ident.Member(d.GetOf())] = view.Deputy{Member: o, LeaseUntil: clock.Instant(d.GetLeaseUntil())}
			}
		}
	}
	return l
}

// sameEpoch reports whether a view without an epoch belongs to the member and the epoch in use. A lease must not be
// used with another member or epoch.
func sameEpoch(m *wire.View, old *view.View) bool {
	return m.GetSelf() == string(old.Self) && m.GetEpochNumber() == old.Epoch.GetNumber()
}

// decodeConfig decodes the configuration of a view, which is either complete or a delta to the version in force.
func decodeConfig(m *wire.View, old *view.View) (*config.Config, error) {
	if len(m.GetDelta()) == 0 {
		return config.Parse(m.GetConfiguration())
	}
	d, err := delta.Parse(m.GetDelta())
	if err != nil {
		return nil, err
	}
	return d.Apply(old.Version, old.Config)
}

// waitFor waits until the channel receives a value or the context ends.
func waitFor[T any](ctx context.Context, c <-chan T) {
	select {
	case <-ctx.Done():
	case <-c:
	}
}
