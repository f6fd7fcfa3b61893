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

// retryDelay is the delay after a failed call to the platform.
const retryDelay = 300 * time.Millisecond

// watchWait is the longest time that one watch call on the epoch object waits for a change.
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

// watch tracks the epoch object until the context ends.
func (m *Membership) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.watchOnce(ctx); err != nil {
			sleep(ctx, retryDelay)
		}
	}
}

// watchOnce waits for the next revision of the object and adopts it. While no revision is known it reads the object
// first, because a watch of a missing object would wait until the object exists.
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

// readObject reads and adopts the object. A missing object means an epoch without members.
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

// adoptObject adopts the epoch in an object unless a newer revision was adopted before.
func (m *Membership) adoptObject(o platform.Object) error {
	e := &wire.Epoch{}
	u := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := u.Unmarshal(o.Value, e); err != nil {
		m.log.Error().Err(err).Msg("failed to decode epoch object")
		return fmt.Errorf("decode epoch: %w", err)
	}
	m.apply(func(now clock.Instant) []packet {
		if o.Revision <= m.revision {
			return nil
		}
		m.revision, m.objectEpoch = o.Revision, e
		if e.GetNumber() > m.core.epoch.GetNumber() {
			m.log.Info().Uint64("Epoch", e.GetNumber()).Int("Members", len(e.GetMembers())).Msg("adopted newer epoch")
		}
		m.core.adopt(now, e)
		return nil
	})
	return nil
}

// propose queues an update if one is due. Only the newest revision of the object can be updated.
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
				m.log.Info().Err(err).Uint64("Epoch", u.epoch.GetNumber()).Msg("failed to update epoch object")
				sleep(ctx, retryDelay)
			}
		}
	}
}

// writeUpdate writes an update and reads the object back, which shows which writer won even if the response was lost.
func (m *Membership) writeUpdate(ctx context.Context, u update) error {
	if !m.isCurrent(u) {
		return nil
	}
	b, err := protojson.Marshal(u.epoch)
	if err != nil {
		return fmt.Errorf("encode epoch: %w", err)
	}
	_, putErr := m.store.Put(ctx, platform.Object{Name: ObjectName(m.region), Revision: u.revision, Value: b})
	if err := m.readObject(ctx); err != nil {
		return errors.Join(putErr, err)
	}
	if m.isWritten(u) {
		return nil
	}
	return putErr
}

// isCurrent reports whether the object still had the update's base revision when it was last read.
func (m *Membership) isCurrent(u update) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision == u.revision
}

// isWritten reports whether the object holds the epoch that the update wrote.
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
