package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/justinas/alice"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/listener"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/link"
	"github.com/amaranthramp/amaranthramp/process/membership"
	"github.com/amaranthramp/amaranthramp/process/platform"
	"github.com/amaranthramp/amaranthramp/process/settings"
	"github.com/amaranthramp/amaranthramp/version/archive"
	"github.com/amaranthramp/amaranthramp/version/patch"
	"github.com/amaranthramp/amaranthramp/version/spread"
	"github.com/amaranthramp/amaranthramp/wire"
)

// reconnectTimeout is how long an entry process may take to reconnect after its link is lost before its member is
// detached.
const reconnectTimeout = 250 * time.Millisecond

// Control is the control process of a VM.
type Control struct {
	settings    *settings.Settings
	incarnation string
	store       platform.Store
	clock       clock.Clock
	log         zerolog.Logger
	spread      *spread.Replica
	archive     *archive.Archive
	submitter   *patch.Submitter
	memory      memory
	client      *http.Client
	leaving     *leavingUpstreams
	membership  *membership.Membership
	// entryStopping is set once the connected entry process has announced its planned stop.
	entryStopping atomic.Bool

	mu sync.Mutex
	// lastSession is the session of the entry process that connected last, or nil if none has.
	lastSession *session
}

// session is one connection of an entry process and the member that was created for it.
type session struct {
	conn *link.Conn
	self *wire.Member
	// sentConfiguration is the configuration that was last sent to the entry process.
	sentConfiguration spread.State
	// sentEpoch is the epoch that was last sent to the entry process.
	sentEpoch *wire.Epoch
	// inForceVersion is the configuration version that the entry process last reported as in force.
	inForceVersion atomic.Uint64
}

// New returns a control process. The incarnation must differ from that of every earlier start of the process.
func New(s *settings.Settings, incarnation string, p platform.Store, c clock.Clock, l zerolog.Logger) *Control {
	k := &Control{
		settings: s, incarnation: incarnation, store: p, clock: c, log: l, client: newPeerClient(),
		leaving: newLeavingUpstreams(),
	}
	k.archive = archive.New(p, newIDSource(incarnation))
	k.spread = spread.New(s.Name, k.archive, p, spread.NewHTTPPeers(k.client, s.Key), s.Control.Seeds, l)
	k.submitter = patch.NewSubmitter(k.archive, time.Now, k.spread.AdoptIfNewer)
	k.membership = membership.New(s.Region, s.Control.WitnessAddress, []byte(s.Control.Key), p, c, l,
		k.spread.ObserveVersion)
	return k
}

// Run serves until the context ends, then drains.
func (c *Control) Run(ctx context.Context) error {
	c.memory.applyLimit()
	n, err := net.Listen("tcp", string(c.settings.Control.LinkAddress))
	if err != nil {
		return fmt.Errorf("listen for the entry process: %w", err)
	}
	o, err := net.Listen("tcp", string(c.settings.Control.OperatorAddress))
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	h := &http.Server{Handler: c.operatorHandler(), ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout}
	go func() { _ = h.Serve(listener.New(o, c.log)) }()
	// Everything keeps running while the process drains, so ctx must not cancel it.
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go c.spread.Run(serveCtx)
	go c.sendViews(serveCtx)
	go c.pollVMs(serveCtx)
	go func() {
		<-ctx.Done()
		c.drain()
		cancel()
		_ = n.Close()
		_ = h.Close()
	}()
	c.log.Info().Str("DataCentre", string(c.settings.DataCentre)).Msg("control process started")
	go func() {
		// Serve returns when the listener is closed.
		l := listener.New(n, c.log)
		_ = link.Serve(serveCtx, l, link.Handlers{Hello: c.handleHello, Status: c.handleStatus, Leave: c.handleLeave})
	}()
	return c.membership.Run(serveCtx)
}

// handleHello starts a new member. Its id contains the incarnations of both processes, so that it changes when either
// of them restarts.
func (c *Control) handleHello(n *link.Conn, h *wire.Hello) {
	s := c.settings
	self := &wire.Member{
		Id:              fmt.Sprintf("%s.%s.%s", s.Name, c.incarnation, h.GetIncarnation()),
		Vm:              string(s.Name),
		DataCentre:      string(s.DataCentre),
		PeerAddress:     h.GetPeerAddress(),
		WitnessAddress:  string(s.Control.WitnessAddress),
		OperatorAddress: string(s.Control.OperatorAddress),
	}
	e := &session{conn: n, self: self}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSession = e
	c.log.Info().Str("Member", self.GetId()).Msg("entry process connected")
	c.entryStopping.Store(false)
	c.membership.Join(self)
	go c.detachAfterDisconnect(e)
}

// detachAfterDisconnect waits until the entry process disconnects, and then detaches the member, so that its lease is
// no longer renewed, if no entry process connects again within reconnectTimeout.
func (c *Control) detachAfterDisconnect(e *session) {
	<-e.conn.Done()
	time.Sleep(reconnectTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastSession == e {
		c.log.Warn().Str("Member", e.self.GetId()).Msg("entry process disconnected")
		c.membership.Detach(ident.Member(e.self.GetId()))
	}
}

// handleStatus records the epoch and the configuration version that the entry process has in force. A status from the
// connection of a former session is ignored.
func (c *Control) handleStatus(n *link.Conn, s *wire.Status) {
	e := c.session()
	if e == nil || e.conn != n {
		return
	}
	v := ident.Version(s.GetConfigurationVersion())
	e.inForceVersion.Store(uint64(v))
	c.membership.ReportApplied(ident.Member(e.self.GetId()), ident.Epoch(s.GetEpoch()), v)
}

// sendViews sends the entry process a view whenever the configuration, the list of leaving upstreams or the membership
// state changes.
func (c *Control) sendViews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.spread.Changed():
		case <-c.leaving.changeNotice.Out():
			c.membership.LearnVersion(c.spread.State().Version)
		case <-c.membership.Changed():
		}
		if e := c.session(); e != nil {
			c.sendView(ctx, e)
		}
	}
}

func (c *Control) session() *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastSession
}

// Dump is the state of a control process as served to operators.
type Dump struct {
	VM       ident.VM
	Member   ident.Member
	Version  ident.Version
	Epoch    *wire.Epoch
	LeaseFor string
	// Deputies are the members that hold the leases of silent members.
	Deputies []membership.Deputy `json:",omitempty"`
}

func (c *Control) dump() Dump {
	d := Dump{VM: c.settings.Name, Version: c.spread.State().Version}
	e := c.session()
	if e == nil {
		return d
	}
	m := c.membership.State()
	d.Member = ident.Member(e.self.GetId())
	d.Epoch = m.Epoch
	d.Deputies = m.Deputies
	d.LeaseFor = m.LeaseUntil.Sub(c.clock.Now()).String()
	return d
}

func (c *Control) operatorHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET "+membership.EpochPath, c.membership)
	m.Handle("GET /metrics", promhttp.HandlerFor(
		prometheus.Gatherers{prometheus.DefaultGatherer, c.newRegistry()}, promhttp.HandlerOpts{}))
	m.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(c.dump())
	})
	c.addRoutes(m)
	return alice.New(limitBody).Then(m)
}
