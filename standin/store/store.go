package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/process/platform"
)

// Store holds objects in memory; it is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	objects map[string]platform.Object
	vms     []platform.VM
	// changed is closed and replaced at every write, which wakes the watches.
	changed chan struct{}
	faults  Faults
	// stale is the list of VMs that is shown while the list is stale.
	stale  []platform.VM
	writes int
	calls  Calls
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[string]platform.Object{}, changed: make(chan struct{})}
}

// SetVMs replaces the list of VMs.
func (s *Store) SetVMs(l []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = l
}

// Handler serves the object API over HTTP.
func (s *Store) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /objects/{name}", s.faulty(s.get))
	m.HandleFunc("PUT /objects/{name}", s.faulty(s.put))
	m.HandleFunc("DELETE /objects/{name}", s.faulty(func(_ http.ResponseWriter, r *http.Request) {
		s.Delete(r.PathValue("name"))
	}))
	m.HandleFunc("GET /vms", s.faulty(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.shownVMs())
	}))
	s.addControls(m)
	return m
}

// Put replaces an object that has the revision named by o and returns the new one, or platform.ErrConflict.
func (s *Store) Put(o platform.Object) (platform.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[o.Name].Revision != o.Revision {
		return 0, platform.ErrConflict
	}
	o.Revision++
	s.objects[o.Name] = o
	close(s.changed)
	s.changed = make(chan struct{})
	return o.Revision, nil
}

// Delete removes an object.
func (s *Store) Delete(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
}

// get waits for a missing object only when a watch asks for it; a plain read of it answers at once.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("After"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("WaitMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		o, ok, changed := s.read(r.PathValue("name"))
		if s.Faults().Down {
			panic(http.ErrAbortHandler)
		}
		if ms == 0 || (ok && uint64(o.Revision) > after) {
			writeObject(w, o, ok)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			writeObject(w, o, ok)
			return
		}
	}
}

func (s *Store) read(name string) (platform.Object, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	return o, ok, s.changed
}

func writeObject(w http.ResponseWriter, o platform.Object, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(o.Revision), 10)))
	_, _ = w.Write(o.Value)
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil || len(b) > platform.MaxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	v, err := s.Put(platform.Object{Name: r.PathValue("name"), Revision: platform.Revision(n), Value: b})
	if err != nil {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(v), 10)))
}
