package fleet

import (
	"net/netip"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/wire"
)

// HandleReach sets the function that gets the messages on partitions from targets, with the address of their sender. It
// must be called before Run.
func (f *Fleet) HandleReach(h func(*wire.ReachNews, ident.Address)) {
	f.handleReach = h
}

// SendReach sends a message on partitions from targets to a member in a datagram.
func (f *Fleet) SendReach(to ident.Address, m *wire.ReachNews) {
	f.sendMessage(to, &wire.Digest{Address: string(f.self.Address), Reach: m})
}

// HandleAllowance sets the function that gets the messages on the allowances of teams, with their sender's address.
// It must be called before Run.
func (f *Fleet) HandleAllowance(h func(*wire.AllowanceMessage, ident.Address)) {
	f.handleAllowance = h
}

// SendAllowance sends a message on the allowance of a team to a member in a datagram.
func (f *Fleet) SendAllowance(to ident.Address, m *wire.AllowanceMessage) {
	f.sendMessage(to, &wire.Digest{Address: string(f.self.Address), Allowance: m})
}

// HandleRollout sets the function that gets the messages on roll-outs, with the address of their sender. It must be
// called before Run.
func (f *Fleet) HandleRollout(h func(*wire.RolloutMessage, ident.Address)) {
	f.handleRollout = h
}

// SendRollout sends a message on a roll-out to a member in a datagram.
func (f *Fleet) SendRollout(to ident.Address, m *wire.RolloutMessage) {
	f.sendMessage(to, &wire.Digest{Address: string(f.self.Address), Rollout: m})
}

// handleMessage handles a datagram that carries a message instead of a digest, and reports whether it does.
func (f *Fleet) handleMessage(d *wire.Digest) bool {
	from := ident.Address(d.GetAddress())
	switch {
	case d.GetQuarantine() != nil:
		f.handleQuarantine(d.GetQuarantine(), from)
	case d.GetReach() != nil:
		f.handleReach(d.GetReach(), from)
	case d.GetAllowance() != nil:
		f.handleAllowance(d.GetAllowance(), from)
	case d.GetPresent():
		f.handlePresent(d)
	case d.GetLoad() != nil && len(d.GetChanged()) == 0:
		f.loads.Add(d.GetLoad(), from)
	case d.GetRollout() != nil:
		f.handleRollout(d.GetRollout(), from)
	default:
		return false
	}
	return true
}

// sendMessage sends a datagram that carries a message instead of a digest. It may get lost.
func (f *Fleet) sendMessage(to ident.Address, d *wire.Digest) {
	b, err := proto.Marshal(d)
	if err != nil {
		f.log.Error().Err(err).Msg("could not encode a message to a member")
		return
	}
	a, err := netip.ParseAddrPort(string(to))
	if err != nil {
		f.log.Debug().Str("Address", string(to)).Err(err).Msg("member has an invalid address")
		return
	}
	f.mu.Lock()
	u := f.conn
	f.mu.Unlock()
	if u == nil {
		return
	}
	if _, err := u.WriteToUDPAddrPort(b, a); err != nil {
		f.log.Debug().Str("Address", string(to)).Err(err).Msg("could not send a message to a member")
	}
}
