package control

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/archive"
	"github.com/amaranthramp/amaranthramp/version/patch"
	"github.com/amaranthramp/amaranthramp/version/spread"
)

const (
	// maxRequestBytes is the maximum size of the body of an operator's request.
	maxRequestBytes = 8 << 20
	// submitTimeout bounds how long a submitted patch may take to be accepted or refused.
	submitTimeout = 15 * time.Second
	// historyTimeout bounds how long reading the history from the platform may take.
	historyTimeout = 5 * time.Second
	// versionHeader is the response header that carries the version of the configuration.
	versionHeader = "Amaranthramp-Version"
)

// Handler returns the handler of requests from operators and other control processes.
func (c *Control) Handler() http.Handler {
	return c.operatorHandler()
}

// addRoutes registers the endpoints for operators and other control processes. With a fleet key, requests of
// other control processes for the configuration and configuration patches of operators must be authenticated.
func (c *Control) addRoutes(m *http.ServeMux) {
	key := c.settings.Key
	m.Handle("POST "+spread.PullPath, key.RequireAuthenticator(c.spread.Handler(), time.Now))
	m.HandleFunc("GET /configuration", c.getConfiguration)
	m.Handle("POST /patch", key.RequireAuthenticator(http.HandlerFunc(c.postPatch), time.Now))
	m.HandleFunc("GET /history", c.getHistory)
	m.HandleFunc("GET /status", c.getStatus)
	m.HandleFunc("GET /status/self", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, c.selfStatus(r.Context()))
	})
	m.HandleFunc("GET "+leavingPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, c.leaving.get())
	})
}

// limitBody limits the body of each request to maxRequestBytes.
func limitBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		h.ServeHTTP(w, r)
	})
}

func (c *Control) getConfiguration(w http.ResponseWriter, _ *http.Request) {
	s := c.spread.State()
	w.Header().Set(versionHeader, s.Version.String())
	w.Header().Set("Content-Type", "application/toml")
	_, _ = w.Write(s.Text)
}

func (c *Control) postPatch(w http.ResponseWriter, r *http.Request) {
	var q patch.Submission
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		writeJSON(w, http.StatusBadRequest, patch.Answer{Outcome: patch.Refused, Cause: patch.CauseFindings,
			Reason: "the request body is not a valid patch submission: " + err.Error()})
		return
	}
	// The patch is decided even if the operator disconnects, so that the submission isn't abandoned halfway.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), submitTimeout)
	defer cancel()
	var a patch.Answer
	c.memory.runUnlimited(func() { a = c.submitter.Submit(ctx, q) })
	c.log.Info().Str("Patch", string(a.Patch)).Str("Operator", q.Operator).Str("Outcome", string(a.Outcome)).
		Str("Cause", string(a.Cause)).Str("Version", a.Version.String()).Msg("patch decided")
	writeJSON(w, statusCodeOf(a), a)
}

// statusCodeOf returns the HTTP status code of an answer to a submission.
func statusCodeOf(a patch.Answer) int {
	switch {
	case a.Outcome == patch.Accepted:
		return http.StatusOK
	case a.Outcome == patch.Unknown:
		return http.StatusGatewayTimeout
	case a.Cause == patch.CauseFindings:
		return http.StatusUnprocessableEntity
	case a.Cause == patch.CauseStale || a.Cause == patch.CauseIDUsed:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

// History lists the accepted patches, newest first.
type History struct {
	Version ident.Version
	Entry   []archive.Entry
}

func (c *Control) getHistory(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), historyTimeout)
	defer cancel()
	h, err := c.loadHead(ctx)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, Failure{Reason: "the platform can't be read: " + err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, History{Version: h.Version, Entry: h.History})
}

// loadHead reads the head of the configuration from the platform: the version and the list of accepted patches. The
// snapshots of the configuration that other control processes send contain only the newest entry of that list.
func (c *Control) loadHead(ctx context.Context) (*archive.Head, error) {
	s, err := c.archive.Load(ctx, c.spread.Snapshot())
	if err != nil {
		return nil, err
	}
	return &s.Head, nil
}

// Failure is the response to a request that could not be served.
type Failure struct {
	Reason string
}

// errNoEntry means that the VM's entry process is not connected.
var errNoEntry = errors.New("entry process not connected")

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}
