package fleet

import (
	"net/netip"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/wire"
)

// HandleQuarantine sets the function that gets the messages on requests that crash targets, with the address of their
// sender. It must be called before Run.
func (f *Fleet) HandleQuarantine(h func(*wire.QuarantineNews, ident.Address)) {
	f.handleQuarantine = h
}

// Self returns this VM.
func (f *Fleet) Self() roster.Member {
	return f.self
}

// Others returns the other members that this VM knows.
func (f *Fleet) Others() []roster.Member {
	return slices.DeleteFunc(slices.Clone(f.catalog.Get().Members), func(m roster.Member) bool {
		return m.Name == f.self.Name
	})
}

// SendQuarantine sends a message to a member in a datagram.
func (f *Fleet) SendQuarantine(to ident.Address, m *wire.QuarantineNews) {
	b, err := proto.Marshal(&wire.Digest{Address: string(f.self.Address), Quarantine: m})
	if err != nil {
		f.log.Error().Err(err).Msg("could not encode a message on quarantined requests")
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
		f.log.Debug().Str("Address", string(to)).Err(err).Msg("could not send a message on quarantined requests")
	}
}
