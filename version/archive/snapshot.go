package archive

import (
	"bytes"
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"github.com/amaranthramp/amaranthramp/process/platform"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// MaxGroupSize is the size in bytes above which a group of services is split.
const MaxGroupSize = 16 << 10

// Snapshot is one version with all of its groups; it is immutable.
type Snapshot struct {
	Head Head
	// Revision is that of the head object; zero when the snapshot came from a peer.
	Revision platform.Revision
	Config   *config.Config
	groups   map[string]*group
}

// group is the content of one group object.
type group struct {
	text     []byte
	services []config.Service
}

// services is the TOML form of a group.
type services struct {
	Service []config.Service
}

// Empty returns the snapshot of version zero, which has no content.
func Empty() *Snapshot {
	return &Snapshot{Config: &config.Config{}, groups: map[string]*group{}}
}

// Group returns the text of a group object.
func (s *Snapshot) Group(object string) ([]byte, bool) {
	g, ok := s.groups[object]
	if !ok {
		return nil, false
	}
	return g.text, true
}

// head is the TOML form of the part that applies to all services.
type head struct {
	Budget     config.Budget
	DataCentre []config.DataCentre
}

// Text returns the whole configuration as TOML. The text of a group consists of Service tables and is copied unchanged.
func (s *Snapshot) Text() ([]byte, error) {
	b, err := toml.Marshal(head{Budget: s.Head.Budget, DataCentre: s.Head.DataCentre})
	if err != nil {
		return nil, fmt.Errorf("format configuration: %w", err)
	}
	l := [][]byte{b}
	for _, n := range s.Head.Group {
		if g := s.groups[n]; len(g.services) > 0 {
			l = append(l, g.text)
		}
	}
	return bytes.Join(l, []byte("\n")), nil
}

// Assemble builds a snapshot from a head and the texts of its groups; groups that the older snapshot contains need no
// text and are not parsed again.
func Assemble(head []byte, texts map[string][]byte, old *Snapshot) (*Snapshot, error) {
	h, err := parseHead(head)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{Head: h, groups: make(map[string]*group, len(h.Group))}
	s.Config = &config.Config{Budget: h.Budget, DataCentre: h.DataCentre}
	for _, n := range h.Group {
		g, ok := old.groups[n]
		if !ok {
			if g, err = parseGroup(n, texts); err != nil {
				return nil, err
			}
		}
		s.groups[n] = g
		s.Config.Service = append(s.Config.Service, g.services...)
	}
	s.Config.Complete()
	return s, nil
}

func parseGroup(name string, texts map[string][]byte) (*group, error) {
	b, ok := texts[name]
	if !ok {
		return nil, fmt.Errorf("group %s is missing", name)
	}
	var v services
	if err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(&v); err != nil {
		return nil, fmt.Errorf("read group %s: %w", name, err)
	}
	c := &config.Config{Service: v.Service}
	c.Complete()
	return &group{text: b, services: c.Service}, nil
}

func formatGroup(l []config.Service) (*group, error) {
	b, err := toml.Marshal(services{Service: l})
	if err != nil {
		return nil, fmt.Errorf("format group: %w", err)
	}
	return &group{text: b, services: l}, nil
}
