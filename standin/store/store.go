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
	// changed is closed and replaced at every write and change of faults, which wakes the waiting watches.
	changed chan struct{}
	faults  Faults
	// staleVMs is the list of VMs that is returned while the fault StaleVMs is set.
	staleVMs []platform.VM
	// writes counts the writes, to select those whose response is lost.
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

// Handler returns a handler that serves the object API, and the control endpoints for tests and experiments.
func (s *Store) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /objects/{name}", s.withFaults(s.get))
	m.HandleFunc("PUT /objects/{name}", s.withFaults(s.put))
	m.HandleFunc("DELETE /objects/{name}", s.withFaults(func(_ http.ResponseWriter, r *http.Request) {
		s.Delete(r.PathValue("name"))
	}))
	m.HandleFunc("GET /vms", s.withFaults(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.visibleVMs())
	}))
	s.addControlEndpoints(m)
	return m
}

// Put replaces an object if its revision is that of o and returns the new revision; otherwise it fails with
// platform.ErrConflict. A new object has revision 0.
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

// get serves reads and watches. A watch waits until the object is newer than the revision After or WaitMs have passed,
// also if the object does not exist; a read without WaitMs is answered at once.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("After"), 10, 64)
	waitMs, _ := strconv.Atoi(r.FormValue("WaitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		o, ok, changed := s.read(r.PathValue("name"))
		if s.Faults().Down {
			panic(http.ErrAbortHandler)
		}
		if waitMs == 0 || (ok && uint64(o.Revision) > after) {
			writeObject(w, o, ok)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			writeObject(w, o, ok)
			return
		}
	}
}

// read returns an object, whether it exists, and the channel that is closed at the next change of the store.
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
