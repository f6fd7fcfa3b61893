package entry

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/dispatch"
)

// Dump is the state of an entry process as served to operators.
type Dump struct {
	VM       ident.VM
	Member   ident.Member
	Version  ident.Version
	Epoch    ident.Epoch
	LeaseFor string
	InFlight int
	// Leaving means that a planned stop has begun.
	Leaving bool
	Shards  []dispatch.ShardDump
}

func (e *Entry) dump() Dump {
	v := e.views.Get()
	return Dump{
		VM: e.settings.Name, Member: v.Self, Version: v.Version, Epoch: ident.Epoch(v.Epoch.GetNumber()),
		LeaseFor: v.LeaseUntil.Sub(e.clock.Now()).String(), InFlight: e.dispatcher.InFlight(),
		Leaving: e.stopping.Load(), Shards: e.dispatcher.Dump(),
	}
}

func (e *Entry) operatorHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /metrics", promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{}))
	m.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(e.dump())
	})
	m.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if e.views.Get().Version == 0 || e.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return m
}
