package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/rollout"
)

const (
	// statusTimeout is the timeout of a write of a status. A slow store answers in a quarter of a second.
	statusTimeout = time.Second
	// statusRetryDelay is the time after a failed write before the next one.
	statusRetryDelay = 200 * time.Millisecond
)

// write begins to write the status of an order, unless a write is under way or has just failed. The decider asks again.
func (r *rollouts) write(ctx context.Context, s *serviceRollout, a *rollout.WriteStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writing || r.clock.Now() < s.writeAt {
		return
	}
	s.writing = true
	era := r.catalog.Get().Positions[catalog.Rollouts].Era
	go r.writeStatus(ctx, s, a, era)
}

// writeStatus writes the status of an order. The object that the store returns, also if another decider came first, is
// used at once, since the catalogue learns of it later.
func (r *rollouts) writeStatus(ctx context.Context, s *serviceRollout, a *rollout.WriteStatus, era ident.Era) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	o, err := r.writer.WriteRolloutStatus(ctx, a.Service, a.Revision, a.Status)
	l := r.log.Info().Str("Service", string(a.Service)).Str("NewVersion", string(a.Status.Version)).
		Str("State", string(a.Status.State)).Str("Phase", string(a.Status.Phase)).Str("Why", a.Reason)
	var conflict *catalog.ConflictError
	switch {
	case err == nil:
		l.Uint64("Revision", uint64(o.Revision)).Msg("status of roll-out written")
	case errors.As(err, &conflict):
		o = conflict.Current
		l.Uint64("Revision", uint64(o.Revision)).Msg("status of roll-out not written: order has been changed")
	default:
		l.Err(err).Msg("could not write the status of roll-out")
	}
	s.mu.Lock()
	s.writing = false
	if e, ok := o.Entry.(catalog.Rollout); ok && (err == nil || conflict != nil) {
		s.written, s.writtenEra = &e, era
	} else {
		s.writeAt = r.clock.Now().Add(statusRetryDelay)
	}
	s.mu.Unlock()
	r.update(s)
}
