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

// Faults are what goes wrong between the store and its clients, until they are replaced.
type Faults struct {
	// Down cuts every call before it takes effect, also the watches that wait.
	Down bool
	// DelayMs is how many milliseconds each call waits before it takes effect.
	DelayMs int
	// LoseEvery cuts the answer of every so manieth write after it took effect; zero loses none.
	LoseEvery int
	// StaleVMs shows the list of VMs as it was when the fault began.
	StaleVMs bool
}

// Calls counts what the store was asked.
type Calls struct {
	Reads   int
	Watches int
	Writes  int
	Lists   int
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleVMs && !s.faults.StaleVMs {
		s.stale = slices.Clone(s.vms)
	}
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the counts so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// faulty puts the faults around a handler.
func (s *Store) faulty(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, lost := s.count(r)
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
		if f.Down || s.Faults().Down {
			panic(http.ErrAbortHandler)
		}
		if lost {
			h(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

// count counts a call and tells whether its answer is lost.
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

func (s *Store) shownVMs() []platform.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.StaleVMs {
		return s.stale
	}
	return s.vms
}

// addControls adds what tests and experiments steer; these calls have no faults and are not counted.
func (s *Store) addControls(m *http.ServeMux) {
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
