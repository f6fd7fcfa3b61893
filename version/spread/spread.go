package spread

import (
	"context"
	"fmt"
	"sync"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/ring"
	"github.com/amaranthramp/amaranthramp/version/archive"
	"github.com/amaranthramp/amaranthramp/version/config"
	"github.com/amaranthramp/amaranthramp/wire"
)

// maxPendingPeers limits the queue of peers to pull from.
const maxPendingPeers = 16

// State is the configuration in force and its text.
type State struct {
	Version ident.Version
	Text    []byte
	Config  *config.Config
}

// Peers sends pull requests to other members.
type Peers interface {
	// Pull sends a pull request to the control process with this operator address, the HTTP address at which it serves
	// operators and peers.
	Pull(ctx context.Context, a ident.Address, q *wire.Pull) (*wire.Snapshot, error)
}

// Replica keeps the VM's copy of the configuration up to date; it is safe for concurrent use.
type Replica struct {
	self    ident.VM
	archive *archive.Archive
	source  Source
	peers   Peers
	seeds   []ident.Address
	log     zerolog.Logger
	changed *ring.Ring[struct{}]
	// pendingPeers queues the operator addresses of members to pull from.
	pendingPeers *ring.Ring[ident.Address]
	rankChanged  *ring.Ring[struct{}]

	mu sync.Mutex
	// watcherRank is the result of WatcherRank for the current members.
	watcherRank int
	snapshot    *archive.Snapshot
	state       State
}

// New returns a replica. A VM without a configuration pulls from the seeds, the operator addresses of some control
// processes.
func New(self ident.VM, a *archive.Archive, s Source, p Peers, seeds []ident.Address, l zerolog.Logger) *Replica {
	return &Replica{
		self: self, archive: a, source: s, peers: p, seeds: seeds, log: l,
		changed: ring.New[struct{}](1), pendingPeers: ring.New[ident.Address](maxPendingPeers),
		rankChanged: ring.New[struct{}](1),
		snapshot:    archive.Empty(), state: State{Config: &config.Config{}},
	}
}

// State returns the newest known configuration.
func (s *Replica) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Snapshot returns the newest known snapshot.
func (s *Replica) Snapshot() *archive.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// Changed returns a channel that receives an item whenever the configuration has changed.
func (s *Replica) Changed() <-chan struct{} {
	return s.changed.Out()
}

// ObserveVersion takes the version in a member's heartbeat and schedules a pull from that member if it is newer; it
// never blocks.
func (s *Replica) ObserveVersion(m *wire.Member, v ident.Version) {
	if v > s.State().Version {
		s.pendingPeers.Replace(ident.Address(m.GetOperatorAddress()))
	}
}

// AdoptIfNewer adopts a snapshot unless an equal or newer one is in force: no member ever returns to an older version.
func (s *Replica) AdoptIfNewer(n *archive.Snapshot) {
	if n.Head.Version <= s.State().Version {
		return
	}
	b, err := n.Text()
	if err != nil {
		s.log.Error().Err(err).Str("Version", n.Head.Version.String()).Msg("configuration not adopted")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Head.Version <= s.state.Version {
		return
	}
	s.snapshot = n
	s.state = State{Version: n.Head.Version, Text: b, Config: n.Config}
	s.changed.Replace(struct{}{})
	s.log.Info().Str("Version", n.Head.Version.String()).Msg("configuration adopted")
}

// Respond returns the response to a peer's pull request.
func (s *Replica) Respond(q *wire.Pull) (*wire.Snapshot, error) {
	n := s.Snapshot()
	r := &wire.Snapshot{Version: uint64(n.Head.Version)}
	if n.Head.Version <= ident.Version(q.GetVersion()) {
		return r, nil
	}
	h := n.Head
	h.History = h.History[:min(len(h.History), 1)]
	b, err := h.Format()
	if err != nil {
		return nil, err
	}
	r.Head = b
	have := make(map[string]bool, len(q.GetGroups()))
	for _, g := range q.GetGroups() {
		have[g] = true
	}
	for _, g := range h.Group {
		if t, ok := n.Group(g); ok && !have[g] {
			r.Groups = append(r.Groups, &wire.Group{Name: g, Text: t})
		}
	}
	return r, nil
}

// Pull requests the configuration from one peer and adopts it if it is newer.
func (s *Replica) Pull(ctx context.Context, a ident.Address) error {
	old := s.Snapshot()
	r, err := s.peers.Pull(ctx, a, &wire.Pull{Version: uint64(old.Head.Version), Groups: old.Head.Group})
	if err != nil {
		return fmt.Errorf("pull from %s: %w", a, err)
	}
	if ident.Version(r.GetVersion()) <= old.Head.Version {
		return nil
	}
	texts := make(map[string][]byte, len(r.GetGroups()))
	for _, g := range r.GetGroups() {
		texts[g.GetName()] = g.GetText()
	}
	n, err := archive.Assemble(r.GetHead(), texts, old)
	if err != nil {
		return fmt.Errorf("pull from %s: %w", a, err)
	}
	s.AdoptIfNewer(n)
	return nil
}
