package fleet

import (
	"slices"

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

// Running returns the other members that run as far as is known. The registrations of VMs that are gone stay, and a
// member that counts for others must be there.
func (f *Fleet) Running() []roster.Member {
	f.mu.Lock()
	silent := f.presence.silent
	f.mu.Unlock()
	return slices.DeleteFunc(f.Others(), func(m roster.Member) bool {
		_, gone := silent[m.Name]
		return gone
	})
}

// SendQuarantine sends a message to a member in a datagram.
func (f *Fleet) SendQuarantine(to ident.Address, m *wire.QuarantineNews) {
	f.sendMessage(to, &wire.Digest{Address: string(f.self.Address), Quarantine: m})
}
