package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/catalog"
	"github.com/amaranthramp/amaranthramp/version/roster"
)

// countedSource counts the calls to the store, which all have a price.
type countedSource struct {
	catalog.Source
	calls *prometheus.CounterVec
}

func newCountedSource(s catalog.Source, r prometheus.Registerer) *countedSource {
	return &countedSource{Source: s, calls: promauto.With(r).NewCounterVec(prometheus.CounterOpts{
		Name: "amaranthramp_gateway_store_calls_total", Help: "Calls to the store by call, kind of objects and result.",
	}, []string{"call", "kind", "result"})}
}

// List counts a page of a listing.
func (s *countedSource) List(ctx context.Context, k catalog.Kind, after string, f catalog.Freshness,
) (catalog.Page, error) {
	p, err := s.Source.List(ctx, k, after, f)
	call := "list"
	if f == catalog.Stale {
		call = "list-stale"
	}
	s.count(call, k, err)
	return p, err
}

// Watch counts a watch.
func (s *countedSource) Watch(ctx context.Context, k catalog.Kind, since ident.Revision, wait time.Duration,
) (catalog.Batch, error) {
	b, err := s.Source.Watch(ctx, k, since, wait)
	s.count("watch", k, err)
	return b, err
}

// Register counts a registration.
func (s *countedSource) Register(ctx context.Context, m roster.Member) error {
	err := s.Source.Register(ctx, m)
	s.count("register", catalog.Members, err)
	return err
}

func (s *countedSource) count(call string, k catalog.Kind, err error) {
	result := "ok"
	switch {
	case errors.Is(err, catalog.ErrHistoryGone):
		result = "history-gone"
	case err != nil:
		result = "failed"
	}
	s.calls.WithLabelValues(call, k.String(), result).Inc()
}
