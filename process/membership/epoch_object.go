package membership

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/platform"
	"github.com/amaranthramp/amaranthramp/wire"
)

// retryPause is the pause after a failed call to the platform.
const retryPause = 300 * time.Millisecond

// watchWait is how long one watch of the epoch waits.
const watchWait = 10 * time.Second

// update is a conditional update of the epoch object.
type update struct {
	epoch    *wire.Epoch
	revision platform.Revision
}

// ObjectName returns the name of the platform object that holds the epoch of a region.
func ObjectName(r ident.Region) string {
	return "epoch." + string(r)
}

// watch follows the epoch object.
func (m *Membership) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.watchOnce(ctx); err != nil {
			sleep(ctx, retryPause)
		}
	}
}

// follow waits for the next state of the object; it reads at once while none is known, since the watch of a missing
// object would wait for it.
func (m *Membership) watchOnce(ctx context.Context) error {
	m.mu.Lock()
	r := m.revision
	m.mu.Unlock()
	if r == 0 {
		if err := m.readObject(ctx); err != nil {
			return err
		}
	}
	o, err := m.store.Watch(ctx, ObjectName(m.region), r, watchWait)
	if err != nil {
		return fmt.Errorf("watch epoch: %w", err)
	}
	return m.adoptObject(o)
}

// get reads the object; that it is missing is an epoch without members.
func (m *Membership) readObject(ctx context.Context) error {
	o, err := m.store.Get(ctx, ObjectName(m.region))
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("get epoch: %w", err)
	}
	return m.adoptObject(o)
}

// take adopts a state of the object unless a newer one was taken before.
func (m *Membership) adoptObject(o platform.Object) error {
	e := &wire.Epoch{}
	u := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := u.Unmarshal(o.Value, e); err != nil {
		m.log.Error().Err(err).Msg("epoch object not readable")
		return fmt.Errorf("read epoch: %w", err)
	}
	m.apply(func(now clock.Instant) []packet {
		if o.Revision <= m.revision {
			return nil
		}
		m.revision, m.objectEpoch = o.Revision, e
		if e.GetNumber() > m.core.epoch.GetNumber() {
			m.log.Info().Uint64("Epoch", e.GetNumber()).Int("Members", len(e.GetMembers())).Msg("epoch adopted")
		}
		m.core.adopt(now, e)
		return nil
	})
	return nil
}

// propose hands an update to the writer when one is due; only the newest state of the object can be updated.
func (m *Membership) propose() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objectEpoch != m.core.epoch {
		return
	}
	e := m.core.propose(m.clock.Now(), time.Now())
	if e == nil {
		return
	}
	m.updateCount++
	e.Writer = m.core.self.GetId() + "#" + strconv.FormatUint(m.updateCount, 10)
	m.updates.Offer(update{epoch: e, revision: m.revision})
}

func (m *Membership) writeUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-m.updates.Out():
			if err := m.writeUpdate(ctx, u); err != nil {
				m.log.Info().Err(err).Uint64("Epoch", u.epoch.GetNumber()).Msg("epoch not updated")
				sleep(ctx, retryPause)
			}
		}
	}
}

// put writes an update and reads the object back: that tells who won, also when the answer was lost.
func (m *Membership) writeUpdate(ctx context.Context, u update) error {
	if !m.isCurrent(u) {
		return nil
	}
	b, err := protojson.Marshal(u.epoch)
	if err != nil {
		return fmt.Errorf("format epoch: %w", err)
	}
	_, failed := m.store.Put(ctx, platform.Object{Name: ObjectName(m.region), Revision: u.revision, Value: b})
	if err := m.readObject(ctx); err != nil {
		return errors.Join(failed, err)
	}
	if m.isWritten(u) {
		return nil
	}
	return failed
}

// current tells whether the object still had the update's revision when it was last read.
func (m *Membership) isCurrent(u update) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision == u.revision
}

// wrote tells whether the object is as the update left it.
func (m *Membership) isWritten(u update) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.objectEpoch.GetWriter() == u.epoch.GetWriter()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
