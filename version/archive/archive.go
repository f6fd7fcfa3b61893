package archive

import (
	"context"
	"errors"
	"fmt"

	"github.com/amaranthramp/amaranthramp/process/platform"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// The errors of the archive.
var (
	// ErrConflict means that another writer's version was written first; nothing of this one is in force.
	ErrConflict = errors.New("archive: another version was written first")
	// ErrUnknown means that the head's update may have taken effect or may still do so.
	ErrUnknown = errors.New("archive: outcome of the update is unknown")
	// ErrTooLarge means that a value exceeds the platform's size limit.
	ErrTooLarge = errors.New("archive: value exceeds the platform's size limit")
)

// loadAttempts limits how often the head is read again because its groups were replaced meanwhile.
const loadAttempts = 4

// Archive reads and replaces the configuration in the platform.
type Archive struct {
	store platform.Store
	// uniqueID returns an id that no other call has returned.
	uniqueID func() string
}

// New returns an archive; uniqueID must return an id that no process has got before.
func New(s platform.Store, uniqueID func() string) *Archive {
	return &Archive{store: s, uniqueID: uniqueID}
}

// Load reads the newest version; groups that the older snapshot contains are not read again.
func (a *Archive) Load(ctx context.Context, old *Snapshot) (*Snapshot, error) {
	var last error
	for range loadAttempts {
		o, err := a.store.Get(ctx, HeadName)
		if errors.Is(err, platform.ErrNotFound) {
			return Empty(), nil
		}
		if err != nil {
			return nil, fmt.Errorf("load configuration: %w", err)
		}
		s, err := a.LoadFromHead(ctx, o, old)
		if err == nil || !errors.Is(err, platform.ErrNotFound) {
			return s, err
		}
		last = err
	}
	return nil, last
}

// LoadFromHead loads the version whose head object was read before, by reading its groups. It fails with
// platform.ErrNotFound when a newer head has replaced it.
func (a *Archive) LoadFromHead(ctx context.Context, o platform.Object, old *Snapshot) (*Snapshot, error) {
	h, err := parseHead(o.Value)
	if err != nil {
		return nil, err
	}
	texts := map[string][]byte{}
	for _, n := range h.Group {
		if _, ok := old.groups[n]; ok {
			continue
		}
		g, err := a.store.Get(ctx, n)
		if err != nil {
			return nil, fmt.Errorf("read group %s: %w", n, err)
		}
		texts[n] = g.Value
	}
	s, err := Assemble(o.Value, texts, old)
	if err != nil {
		return nil, err
	}
	s.Revision = o.Revision
	return s, nil
}

// Replace writes the next version. It fails with ErrConflict, ErrUnknown or ErrTooLarge; any other error means that
// nothing changed.
func (a *Archive) Replace(ctx context.Context, old *Snapshot, c *config.Config, e Entry, r []Retired) (*Snapshot,
	error,
) {
	n, err := nextSnapshot(old, c, HeadName+"-"+a.uniqueID())
	if err != nil {
		return nil, err
	}
	n.Head.Version = e.Version
	n.Head.Retired = r
	n.Head.History = append([]Entry{e}, old.Head.History...)
	n.Head.History = n.Head.History[:min(len(n.Head.History), MaxHistory)]
	b, err := n.Head.Format()
	if err != nil {
		return nil, err
	}
	if len(b) > platform.MaxValueBytes {
		return nil, fmt.Errorf("head: %w", ErrTooLarge)
	}
	if err := a.writeGroups(ctx, old, n); err != nil {
		a.deleteUnused(ctx, n, old)
		return nil, err
	}
	n.Revision, err = a.writeHead(ctx, platform.Object{Name: HeadName, Revision: old.Revision, Value: b}, e)
	switch {
	case err == nil:
		a.deleteUnused(ctx, old, n)
	case errors.Is(err, ErrConflict):
		a.deleteUnused(ctx, n, old)
	}
	return n, err
}

func (a *Archive) writeGroups(ctx context.Context, old, n *Snapshot) error {
	for _, o := range n.Head.Group {
		if _, ok := old.groups[o]; ok {
			continue
		}
		g := n.groups[o]
		if len(g.text) > platform.MaxValueBytes {
			return fmt.Errorf("service %s: %w", g.services[0].Name, ErrTooLarge)
		}
		if err := a.writeGroup(ctx, platform.Object{Name: o, Value: g.text}); err != nil {
			return err
		}
	}
	return nil
}

// deleteUnused deletes the groups of a snapshot that the other one doesn't contain. It ignores errors, since a group
// that remains is never read.
func (a *Archive) deleteUnused(ctx context.Context, s, other *Snapshot) {
	d, ok := a.store.(platform.Deleter)
	if !ok {
		return
	}
	for o := range s.groups {
		if _, used := other.groups[o]; !used {
			_ = d.Delete(ctx, o)
		}
	}
}
