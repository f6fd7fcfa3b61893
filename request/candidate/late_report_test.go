package candidate

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthramp/amaranthramp/connection/exchange"
	"github.com/amaranthramp/amaranthramp/connection/partition"
	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/connection/upstream"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/roster"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// TestLateReportReleasesConnectionOnce checks that the connection of a probe is given back once if the choice no longer
// waits for the report, whether the target is healthy or not. That of an unhealthy target was given back twice, so that
// two requests used it at the same time, and could each get the other's answer.
func TestLateReportReleasesConnectionOnce(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			defer h.Close()
			k := clock.New()
			c, _ := newTestChooser(t, k)
			names := &exchange.Headers{RequestID: "X-Request", ExpectedIncarnation: "X-Expected", Incarnation: "X-Incarnation"}
			set := upstream.NewSet(k, zerolog.Nop(), names, exchange.NewBodyBudget(0), pool.DialTCP, partition.New())
			m := roster.Target{
				ID: "i-1", Service: "s", Address: ident.Address(strings.TrimPrefix(h.URL, "http://")), DataCentre: "a", Slots: 2,
			}
			o := set.Get(m, 4)
			done := make(chan struct{})
			close(done)
			c.probe(&Query{Service: route.Service{Name: "s", HealthPath: "/health"}, Deadline: k.Now().Add(time.Minute)},
				candidate{upstream: o, target: m, room: 1}, make(chan probeAnswer), done)
			_, first, err := o.Probe(t.Context(), "/health")
			if err != nil {
				t.Fatal(err)
			}
			_, second, err := o.Probe(t.Context(), "/health")
			if err != nil || first == nil || first == second {
				t.Errorf("two probes at a time use the same connection, or none that is kept, error %v", err)
			}
		})
	}
}
