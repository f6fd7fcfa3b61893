package store

import (
	"context"
	"time"

	"github.com/amaranthramp/amaranthramp/process/platform"
)

// Local is a client of a store in the same process. Its calls have no faults and are not counted.
type Local struct {
	store *Store
}

// NewLocal returns a client of a store in the same process.
func NewLocal(s *Store) *Local {
	return &Local{store: s}
}

// Get returns an object; it fails with platform.ErrNotFound if there is none.
func (l *Local) Get(_ context.Context, name string) (platform.Object, error) {
	o, ok, _ := l.store.read(name)
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

// Put replaces an object if its revision is that of o and returns the new revision; otherwise it fails with
// platform.ErrConflict.
func (l *Local) Put(_ context.Context, o platform.Object) (platform.Revision, error) {
	return l.store.Put(o)
}

// Delete removes an object regardless of its revision.
func (l *Local) Delete(_ context.Context, name string) error {
	l.store.Delete(name)
	return nil
}

// Watch waits until the object is newer than the revision and returns it. After the wait it returns the object
// unchanged.
func (l *Local) Watch(ctx context.Context, name string, after platform.Revision, wait time.Duration) (platform.Object,
	error,
) {
	timeout := time.After(wait)
	for {
		o, ok, changed := l.store.read(name)
		if ok && o.Revision > after {
			return o, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return platform.Object{}, ctx.Err()
		case <-timeout:
			return l.Get(ctx, name)
		}
	}
}

// VMs returns the list of VMs.
func (l *Local) VMs(context.Context) ([]platform.VM, error) {
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	return l.store.vms, nil
}
