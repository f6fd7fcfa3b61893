package store

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/process/platform"
)

// Faults are injected between the store and its clients until they are replaced.
type Faults struct {
	// Down closes the connection of every call before the call takes effect, also of the watches that wait.
	Down bool
	// DelayMs is the delay in milliseconds before each call takes effect.
	DelayMs int
	// LoseEvery N closes the connection of every Nth write after it took effect, instead of a response; zero loses none.
	LoseEvery int
	// StaleVMs returns the list of VMs as it was when this fault was set.
	StaleVMs bool
}

// Calls are the numbers of calls that the store received over HTTP.
type Calls struct {
	Reads   int
	Watches int
	Writes  int
	Lists   int
}

// Faults returns the current faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults and wakes the waiting watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleVMs && !s.faults.StaleVMs {
		s.staleVMs = slices.Clone(s.vms)
	}
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the numbers of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// withFaults wraps a handler that counts the call and applies the current faults.
func (s *Store) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, loseResponse := s.count(r)
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
		if f.Down || s.Faults().Down {
			panic(http.ErrAbortHandler)
		}
		if loseResponse {
			h(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

// count counts a call and returns the current faults and whether the response to the call is to be lost.
func (s *Store) count(r *http.Request) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method != http.MethodGet:
		s.calls.Writes++
		s.writes++
	case r.PathValue("name") == "":
		s.calls.Lists++
	case r.URL.Query().Has("WaitMs"):
		s.calls.Watches++
	default:
		s.calls.Reads++
	}
	n := s.faults.LoseEvery
	return s.faults, n > 0 && r.Method != http.MethodGet && s.writes%n == 0
}

// visibleVMs returns the list of VMs that clients get, which is outdated under the fault StaleVMs.
func (s *Store) visibleVMs() []platform.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.StaleVMs {
		return s.staleVMs
	}
	return s.vms
}

// addControlEndpoints adds the endpoints by which tests and experiments set faults and VMs and read the counts. These
// calls have no faults and are not counted.
func (s *Store) addControlEndpoints(m *http.ServeMux) {
	m.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if decode(w, r, &f) {
			s.SetFaults(f)
		}
	})
	m.HandleFunc("PUT /vms", func(w http.ResponseWriter, r *http.Request) {
		var l []platform.VM
		if decode(w, r, &l) {
			s.SetVMs(l)
		}
	})
	m.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Faults())
	})
	m.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Calls())
	})
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, platform.MaxValueBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
