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

// redialPause is the pause before the link to the control process is dialled again.
const redialPause = 100 * time.Millisecond

// Entry is one entry process.
type Entry struct {
	settings    *settings.Settings
	incarnation string
	clock       clock.Clock
	log         zerolog.Logger
	views       *view.Holder
	dispatcher  *dispatch.Dispatcher
	forwarder   *claim.Forwarder
	claimer     *claim.Claimer
	keeper      *claim.Keeper
	quarantine  *quarantine.Table
	registry    *prometheus.Registry
	metrics     *metrics
	peers       *peer.Client
	// taken gets an item after each view that was stored.
	taken  *ring.Ring[struct{}]
	sender *handover.Sender
	// leaving is set once a planned stop has begun; leave gets an item when the control process is to know.
	leaving atomic.Bool
	leave   *ring.Ring[struct{}]
	// mu serializes the views of two links, when one replaces the other.
	mu sync.Mutex
}

// New returns an entry process; the incarnation must differ from that of every earlier start.
func New(s *settings.Settings, incarnation string, c clock.Clock, l zerolog.Logger) *Entry {
	v := view.New()
	q := quarantine.New(c)
	p := peer.New(c)
	x := dispatch.DialTargets(c, pool.DialTCP)
	d := dispatch.New(v, &shard.Tables{}, c, retry.New(), q, handover.NewInbox(c), p, x)
	t := claim.NewTransport(p)
	k := claim.NewKeeper(v, t, c, time.Now)
	t.Serve(k)
	m := claim.New(v, t, c, clock.Sleep)
	e := &Entry{
		settings: s, incarnation: incarnation, clock: c, log: l, views: v, dispatcher: d, claimer: m, keeper: k,
		quarantine: q, peers: p,
		forwarder: claim.NewForwarder(m, forward.New(v, d, p, choice.New(c), retry.New(), c)),
		taken:     ring.New[struct{}](1), sender: handover.NewSender(d, p),
		leave: ring.New[struct{}](1), registry: prometheus.NewRegistry(),
	}
	e.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	e.metrics = newMetrics(e.registry, e)
	return e
}

// headerTimeout bounds how long a connection may take to send the header of a request, so that slow ones don't pile up.
const headerTimeout = 10 * time.Second

// gcPercent lets the heap grow to five times what is live between two collections: an entry holds little, and each
// collection takes processor time from the requests in flight.
const gcPercent = 400

// Run serves until the context ends, then finishes the requests in flight.
func (e *Entry) Run(ctx context.Context) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	a := e.settings.Entry
	f := &counted{next: e.forwarder, metrics: e.metrics, clock: e.clock}
	mux := peer.NewMux(e.dispatcher, e.clock)
	mux.Register(claim.Kind, e.keeper.Receive)
	mux.Register(quarantine.Kind, e.quarantine.Receive)
	mux.Register(handover.Kind, e.dispatcher.Receive)
	mux.Register(handover.AskKind, e.dispatcher.Answer)
	servers := []*http.Server{
		{Addr: string(a.CallerAddress), Handler: alice.New(e.closing).Then(caller.New(e.views, f, e.clock))},
		{Addr: string(a.PeerAddress), Handler: alice.New(e.closing).Then(mux)},
		{Addr: string(a.OperatorAddress), Handler: e.operatorHandler()},
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		s.ReadHeaderTimeout = headerTimeout
		l, err := net.Listen("tcp", s.Addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		go func() { failed <- s.Serve(l) }()
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	go e.follow(life)
	go e.keeper.Run(life)
	go e.dispatcher.Run(life)
	go e.sender.Run(life)
	go e.quarantine.Run(life, e.views, e.peers)
	e.log.Info().Str("CallerAddress", string(a.CallerAddress)).Msg("entry process started")
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		return e.drain(servers)
	}
}

// follow keeps the link to the control process. Without it the last view stays and the lease runs out.
func (e *Entry) follow(ctx context.Context) {
	for ctx.Err() == nil {
		c, err := link.Dial(ctx, e.settings.Control.LinkAddress, link.Handlers{View: e.take})
		if err == nil {
			err = c.Hello(ctx, &wire.Hello{
				Incarnation: e.incarnation, PeerAddress: string(e.settings.Entry.PeerAddress),
			})
		}
		if err == nil {
			e.report(ctx, c)
			c.Close()
		}
		waitFor(ctx, time.After(redialPause))
	}
}

// report tells the control process what is in force after each view, until the link ends.
func (e *Entry) report(ctx context.Context, c *link.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Done():
			return
		case <-e.leave.Out():
			_ = c.Leave(ctx, &wire.Leave{})
			continue
		case <-e.taken.Out():
		}
		v := e.views.Get()
		_ = c.Status(ctx, &wire.Status{
			ConfigurationVersion: uint64(v.Version), Epoch: v.Epoch.GetNumber(), InFlight: int64(e.dispatcher.InFlight()),
		})
	}
}

// take stores a view from the control process; the configuration is parsed only when its version is new.
//
// A view of an earlier epoch than the last one comes from a link that was replaced; others were told already that
// the later epoch is in force.
func (e *Entry) take(m *wire.View) {
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
		Self:       ident.Member(m.GetSelf()),
		Epoch:      m.GetEpoch(),
		Version:    old.Version,
		Config:     old.Config,
		LeaseUntil: clock.Instant(m.GetLeaseUntil()),
		Deputies:   deputiesOf(m),
		Leaving:    map[ident.Address]bool{},
	}
	for _, a := range m.GetLeavingUpstreams() {
		v.Leaving[ident.Address(a)] = true
	}
	if n := ident.Version(m.GetConfigurationVersion()); n > old.Version {
		c, err := configOf(m, old)
		if err == nil {
			v.Version, v.Config = n, c
			e.log.Info().Str("Version", n.String()).Msg("configuration in force")
		} else {
			// Epoch and lease are taken all the same; the witnesses soon stop renewing an owner with an old version.
			e.log.Error().Err(err).Msg("configuration not taken")
		}
	}
	if proto.Equal(v.Epoch, old.Epoch) {
		v.Epoch = old.Epoch
	}
	e.views.Set(v)
	e.taken.Replace(struct{}{})
}

// deputiesOf returns the deputies of silent members; one that is not a member of the epoch is passed over.
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

// sameEpoch tells whether a view without an epoch is for the one in use; a lease must not be put to another one.
func sameEpoch(m *wire.View, old *view.View) bool {
	return m.GetSelf() == string(old.Self) && m.GetEpochNumber() == old.Epoch.GetNumber()
}

// configOf reads the configuration of a view, whole or as what changed since the version in force.
func configOf(m *wire.View, old *view.View) (*config.Config, error) {
	if len(m.GetDelta()) == 0 {
		return config.Parse(m.GetConfiguration())
	}
	d, err := delta.Parse(m.GetDelta())
	if err != nil {
		return nil, err
	}
	return d.Apply(old.Version, old.Config)
}

func waitFor[T any](ctx context.Context, c <-chan T) {
	select {
	case <-ctx.Done():
	case <-c:
	}
}
