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

// reconnect is how long an entry may take to connect again after its link was lost.
const reconnect = 250 * time.Millisecond

// Control is one control process.
type Control struct {
	settings    *settings.Settings
	incarnation string
	store       platform.Store
	clock       clock.Clock
	log         zerolog.Logger
	spread      *spread.Spread
	archive     *archive.Archive
	submitter   *patch.Submitter
	memory      memory
	client      *http.Client
	leaving     *leaving
	membership  *membership.Membership
	// entryStops tells that the connected entry announced its planned stop.
	entryStops atomic.Bool

	mu sync.Mutex
	// entry is the connected entry process with its membership, or nil.
	entry *session
}

// session lasts as long as one entry process is connected.
type session struct {
	conn *link.Conn
	self *wire.Member
	// sent is the configuration that the entry was last sent.
	sent spread.State
	// epoch is the epoch that the entry was last sent.
	epoch *wire.Epoch
	// inForce is the configuration version that the entry last said it had in force.
	inForce atomic.Uint64
}

// New returns a control process; the incarnation must differ from that of every earlier start.
func New(s *settings.Settings, incarnation string, p platform.Store, c clock.Clock, l zerolog.Logger) *Control {
	k := &Control{
		settings: s, incarnation: incarnation, store: p, clock: c, log: l, client: newPeerClient(), leaving: newLeaving(),
	}
	k.archive = archive.New(p, newUnique(incarnation))
	k.spread = spread.New(s.Name, k.archive, p, spread.NewHTTPPeers(k.client, s.Key), s.Control.Seeds, l)
	k.submitter = patch.NewSubmitter(k.archive, time.Now, k.spread.Take)
	k.membership = membership.New(s.Region, s.Control.WitnessAddress, []byte(s.Control.Key), p, c, l, k.spread.Heard)
	return k
}

// Run serves until the context ends.
func (c *Control) Run(ctx context.Context) error {
	c.memory.bound()
	n, err := net.Listen("tcp", string(c.settings.Control.LinkAddress))
	if err != nil {
		return fmt.Errorf("listen for the entry: %w", err)
	}
	o, err := net.Listen("tcp", string(c.settings.Control.OperatorAddress))
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	h := &http.Server{Handler: c.operatorHandler(), ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout}
	go func() { _ = h.Serve(o) }()
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go c.spread.Run(life)
	go c.follow(life)
	go c.followVMs(life)
	go func() {
		<-ctx.Done()
		c.drain()
		cancel()
		_ = n.Close()
		_ = h.Close()
	}()
	c.log.Info().Str("DataCentre", string(c.settings.DataCentre)).Msg("control process started")
	go func() {
		// It ends when the listener is closed.
		_ = link.Serve(life, n, link.Handlers{Hello: c.hello, Status: c.entryStatus, Leave: c.entryLeaves})
	}()
	return c.membership.Run(life)
}

// hello starts a new member: neither a restarted entry nor a restarted control process keeps its former id.
func (c *Control) hello(n *link.Conn, h *wire.Hello) {
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
	c.entry = e
	c.log.Info().Str("Member", self.GetId()).Msg("entry connected")
	c.entryStops.Store(false)
	c.membership.Start(self)
	go c.await(e)
}

// await gives up the member when its entry is gone and did not connect again at once.
func (c *Control) await(e *session) {
	<-e.conn.Done()
	time.Sleep(reconnect)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entry == e {
		c.log.Warn().Str("Member", e.self.GetId()).Msg("entry not connected any more")
		c.membership.Detach(ident.Member(e.self.GetId()))
	}
}

// entryStatus notes what the entry has in force; each session has a connection of its own.
func (c *Control) entryStatus(n *link.Conn, s *wire.Status) {
	e := c.session()
	if e == nil || e.conn != n {
		return
	}
	v := ident.Version(s.GetConfigurationVersion())
	e.inForce.Store(uint64(v))
	c.membership.InForce(ident.Member(e.self.GetId()), ident.Epoch(s.GetEpoch()), v)
}

// follow sends a view whenever the configuration or what membership knows changed.
func (c *Control) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.spread.Changed():
		case <-c.leaving.changed.Out():
			c.membership.Learn(c.spread.State().Version)
		case <-c.membership.Changed():
		}
		if e := c.session(); e != nil {
			c.send(ctx, e)
		}
	}
}

func (c *Control) session() *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entry
}

// Dump is the state of a control process on request.
type Dump struct {
	VM       ident.VM
	Member   ident.Member
	Version  ident.Version
	Epoch    *wire.Epoch
	LeaseFor string
	// Deputies are the members that hold the leases of silent ones.
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
	return alice.New(bounded).Then(m)
}
