package archive

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/amaranthramp/amaranthramp/process/platform"
)

// writeAttempts limits how often an update is tried while its outcome is unknown.
const writeAttempts = 3

// writeHead writes the head, which puts it in force. If the response is lost, it checks whether the stored history has
// the entry; while the old head is still stored, it sends the same update again, since the first may yet take effect.
func (a *Archive) writeHead(ctx context.Context, o platform.Object, e Entry) (platform.Revision, error) {
	sent := false
	for range writeAttempts {
		r, err := a.store.Put(ctx, o)
		if err == nil {
			return r, nil
		}
		if !sent && errors.Is(err, platform.ErrNotSent) {
			return 0, fmt.Errorf("write head: %w", err)
		}
		sent = true
		if r, err := a.readOutcome(ctx, o, e); !errors.Is(err, ErrUnknown) {
			return r, err
		}
	}
	return 0, ErrUnknown
}

// writeGroup writes a new group; if the response is lost, it checks whether the group is stored.
func (a *Archive) writeGroup(ctx context.Context, o platform.Object) error {
	var last error
	for range writeAttempts {
		_, err := a.store.Put(ctx, o)
		if err == nil {
			return nil
		}
		last = err
		if n, err := a.store.Get(ctx, o.Name); err == nil && bytes.Equal(n.Value, o.Value) {
			return nil
		}
	}
	return fmt.Errorf("write group: %w", last)
}

// readOutcome checks whether the entry is in force; ErrUnknown means that the update may still take effect.
func (a *Archive) readOutcome(ctx context.Context, o platform.Object, e Entry) (platform.Revision, error) {
	n, err := a.store.Get(ctx, HeadName)
	if errors.Is(err, platform.ErrNotFound) && o.Revision == 0 {
		return 0, ErrUnknown
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if n.Revision == o.Revision {
		return 0, ErrUnknown
	}
	h, err := parseHead(n.Value)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if f, ok := h.Find(e.Patch); ok && f.Version == e.Version && f.At.Equal(e.At) && f.Digest == e.Digest {
		return n.Revision, nil
	}
	if !h.HistoryCovers(e.Version) {
		return 0, ErrUnknown
	}
	return 0, ErrConflict
}
