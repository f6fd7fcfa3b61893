package server

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// Paths with a special meaning for upstreams.
const (
	// LoadPath returns the number of requests in flight, delayed by loadLag.
	LoadPath = "/load"
	// PoisonSuffix is the suffix of the path of a request that crashes every upstream that runs it.
	PoisonSuffix = "/poison"
)

// Options are the options of one upstream.
type Options struct {
	Name       ident.Upstream
	DataCentre ident.DataCentre
	// Service is the configuration of the service: slots, cold limit, costs and classes.
	Service config.Service
	// ProbeShare is the budget for probes; a report shows a violation if they used more.
	ProbeShare ident.Share
	// Mean is the mean of the service time.
	Mean time.Duration
	// Fixed makes all service times equal to Mean; otherwise they are distributed exponentially.
	Fixed bool
	// WarmUp is the number of runs after which a cold upstream is warm; if zero, the upstream is always warm.
	WarmUp int
}

// Server is a test double of one upstream; it is safe for concurrent use.
type Server struct {
	options Options
	clock   clock.Clock
	started clock.Instant

	mu          sync.Mutex
	incarnation *incarnation
	faults      faults
	// takenOutAt is when operators took out the data centre of the upstream; zero while it is in.
	takenOutAt clock.Instant
	report     Report
}

// New returns an upstream in its first incarnation, which is cold unless Options.WarmUp is zero.
func New(o Options, c clock.Clock) *Server {
	s := &Server{
		options: o, clock: c, started: c.Now(),
		report: Report{
			Name: o.Name, Service: o.Service.Name, DataCentre: o.DataCentre, Slots: o.Service.Slots,
			Runs: map[ident.Request]int{}, KeyRuns: map[ident.Key]int{}, Once: map[ident.Request]bool{},
		},
	}
	s.startIncarnation(1)
	return s
}

// Name returns the name of the upstream.
func (s *Server) Name() ident.Upstream {
	return s.options.Name
}

// DataCentre returns the data centre of the upstream.
func (s *Server) DataCentre() ident.DataCentre {
	return s.options.DataCentre
}

// handlerOf returns the handler of one incarnation.
func (s *Server) handlerOf(l *incarnation) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+s.probePath(), func(w http.ResponseWriter, r *http.Request) { s.probe(l, w, r) })
	m.HandleFunc("GET "+LoadPath, func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = w.Write([]byte(strconv.Itoa(l.loadHistory.get(s.clock.Now()))))
	})
	m.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.serve(l, w, r) })
	return m
}

// probePath returns the configured path of probes if it is usable, otherwise the default.
func (s *Server) probePath() string {
	if p := s.options.Service.ProbePath; strings.HasPrefix(p, "/") && p != "/" {
		return p
	}
	return config.DefaultProbePath
}

// defaultProbeCost is the slot time of a probe if the configuration sets none.
const defaultProbeCost = 6 * time.Millisecond

func (s *Server) probeCost() time.Duration {
	if d := time.Duration(s.options.Service.ProbeCost); d > 0 {
		return d
	}
	return defaultProbeCost
}
