package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/process/rollout"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// instrumentedSource counts the calls to the store, since every call has a price.
type instrumentedSource struct {
	Store
	calls *prometheus.CounterVec
}

func newInstrumentedSource(s Store, r prometheus.Registerer) *instrumentedSource {
	return &instrumentedSource{Store: s, calls: promauto.With(r).NewCounterVec(prometheus.CounterOpts{
		Name: "amaranthramp_gateway_store_calls_total", Help: "Calls to the store by call, kind of objects and result.",
	}, []string{"call", "kind", "result"})}
}

// List reads one page of a listing and counts the call.
func (s *instrumentedSource) List(ctx context.Context, k catalog.Kind, after string, f catalog.Freshness,
) (catalog.Page, error) {
	p, err := s.Store.List(ctx, k, after, f)
	call := "list"
	if f == catalog.Stale {
		call = "list-stale"
	}
	s.count(call, k, err)
	return p, err
}

// Watch waits for changes and counts the call.
func (s *instrumentedSource) Watch(ctx context.Context, k catalog.Kind, since ident.Revision, wait time.Duration,
) (catalog.Batch, error) {
	b, err := s.Store.Watch(ctx, k, since, wait)
	s.count("watch", k, err)
	return b, err
}

// Register registers a member and counts the call.
func (s *instrumentedSource) Register(ctx context.Context, m roster.Member) (catalog.Position, error) {
	p, err := s.Store.Register(ctx, m)
	s.count("register", catalog.Members, err)
	return p, err
}

// WriteStanding writes the standing of a member and counts the call.
func (s *instrumentedSource) WriteStanding(ctx context.Context, m roster.Member, r ident.Revision, n catalog.Standing,
) error {
	err := s.Store.WriteStanding(ctx, m, r, n)
	s.count("write-standing", catalog.Members, err)
	return err
}

// WriteRolloutStatus writes the status of an order and counts the call.
func (s *instrumentedSource) WriteRolloutStatus(
	ctx context.Context, v ident.Service, r ident.Revision, n rollout.Status,
) (catalog.Record, error) {
	o, err := s.Store.WriteRolloutStatus(ctx, v, r, n)
	s.count("write-status", catalog.Rollouts, err)
	return o, err
}

func (s *instrumentedSource) count(call string, k catalog.Kind, err error) {
	result := "ok"
	var conflict *catalog.ConflictError
	switch {
	case errors.Is(err, catalog.ErrHistoryGone):
		result = "history-gone"
	case errors.As(err, &conflict):
		result = "conflict"
	case err != nil:
		result = "failed"
	}
	s.calls.WithLabelValues(call, k.String(), result).Inc()
}
