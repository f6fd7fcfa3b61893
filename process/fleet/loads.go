package fleet

import (
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/wire"
)

// Loads collects the loads of targets that members report, and follows their sum. All members report to the readers of
// the store, which sum the reports and send the sum in their digests, so that it costs one datagram for each member and
// second.
type Loads interface {
	// Add takes the report of a member.
	Add(m *wire.LoadReport, from ident.Address)
	// Summary returns the sum of the reports, which may be empty; nil where no loads are exchanged.
	Summary() *wire.LoadReport
	// Follow takes the sum that a reader has sent.
	Follow(m *wire.LoadReport)
}

// noLoads is used where no loads are exchanged.
type noLoads struct{}

func (noLoads) Add(*wire.LoadReport, ident.Address) {}
func (noLoads) Summary() *wire.LoadReport           { return nil }
func (noLoads) Follow(*wire.LoadReport)             {}

// ExchangeLoads sets what collects and follows the loads of targets. It must be called before Run.
func (f *Fleet) ExchangeLoads(l Loads) {
	f.loads = l
}

// ReportLoads sends this VM's report on the loads of targets to the active readers of the store. A reader takes its
// own.
func (f *Fleet) ReportLoads(m *wire.LoadReport) {
	if reading, _ := f.follower.Reading(); reading {
		f.loads.Add(m, f.self.Address)
	}
	for _, a := range f.loadReaders() {
		f.sendMessage(a, &wire.Digest{Address: string(f.self.Address), Load: m})
	}
}

// loadReaders returns the addresses of the other members that read the store and take reports on loads.
func (f *Fleet) loadReaders() []ident.Address {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []ident.Address
	for _, m := range f.catalog.Get().Members {
		s, ok := f.readers[m.Name]
		if ok && s.takesLoads && m.Name != f.self.Name && now.Sub(s.receivedAt) < readerTimeout {
			l = append(l, m.Address)
		}
	}
	return l
}
