package archive

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// HeadName is the name of the platform object that contains the head.
const HeadName = "configuration"

// MaxHistory limits the number of history entries in a head.
const MaxHistory = 256

// Head is the content of the head object, which a conditional update replaces as a whole.
type Head struct {
	Version    ident.Version
	Budget     config.Budget
	DataCentre []config.DataCentre
	// Group lists the objects that contain the services, in their order.
	Group []string
	// History lists the accepted patches, newest first.
	History []Entry `json:",omitempty"`
	// Retired lists recently removed targets. Their addresses must not be added with another placement too soon, since a
	// VM that still uses an older version may send requests to them.
	Retired []Retired `json:",omitempty"`
}

// Entry is the history entry of an accepted patch.
type Entry struct {
	Version  ident.Version
	Patch    ident.Patch
	Digest   string
	Operator string
	At       time.Time
	Summary  string
}

// Retired is a target that an accepted version removed.
type Retired struct {
	Address ident.Address
	Place   Placement
	// At is when the version was accepted.
	At time.Time
}

// Placement is the upstream that a target is declared as, with the properties that determine the shard that it belongs
// to. A shard is the part of a service's targets in a data centre to which one VM at a time dispatches requests.
type Placement struct {
	Service    ident.Service
	DataCentre ident.DataCentre
	Upstream   ident.Upstream
	Shards     int
}

// Find returns the history entry of a patch.
func (h *Head) Find(id ident.Patch) (Entry, bool) {
	for _, e := range h.History {
		if e.Patch == id {
			return e, true
		}
	}
	return Entry{}, false
}

// HistoryCovers reports whether the history contains every version from v on.
func (h *Head) HistoryCovers(v ident.Version) bool {
	n := len(h.History)
	return n > 0 && h.History[n-1].Version <= v
}

// Since returns the entries that are newer than a version, newest first.
func (h *Head) Since(v ident.Version) []Entry {
	var l []Entry
	for _, e := range h.History {
		if e.Version > v {
			l = append(l, e)
		}
	}
	return l
}

// Format encodes a head as it is stored in the platform and sent to peers.
func (h *Head) Format() ([]byte, error) {
	b, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("format head: %w", err)
	}
	return b, nil
}

func parseHead(b []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(b, &h); err != nil {
		return h, fmt.Errorf("read head: %w", err)
	}
	return h, nil
}

// PlacementsByAddress returns the placement of each target by its address.
func PlacementsByAddress(c *config.Config) map[ident.Address]Placement {
	m := map[ident.Address]Placement{}
	for i := range c.Service {
		s := &c.Service[i]
		for _, u := range s.Upstream {
			m[u.Address] = Placement{Service: s.Name, DataCentre: u.DataCentre, Upstream: u.Name, Shards: s.Shards}
		}
	}
	return m
}
