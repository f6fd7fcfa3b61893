package objects

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// PageSize is the maximum number of objects on a page of a list.
const PageSize = 5

// Faults are the injected faults; the zero value is a store without faults.
type Faults struct {
	// Status, if not zero, is the HTTP status that every call gets instead of a response.
	Status int
	// Silent holds every call without a response until the caller cancels it.
	Silent bool
	// LoseWrites applies writes, but closes the connection before the response.
	LoseWrites bool
	// LoseWatches is the kind whose watches get no answer once there is a change to tell; AllKinds means every kind. The
	// connection of such a watch returns nothing further, also when the fault is over.
	LoseWatches string
	// StaleBy is how many revisions a list is behind that may be stale (allow-stale); no other response is stale.
	StaleBy uint64
}

// AllKinds stands for every kind where the name of one is expected.
const AllKinds = "*"

// Metadata is set by the store for each object.
type Metadata struct {
	Name           string `json:"name"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create-revision"`
}

// Object is an object as the API returns it.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	// Status is what the system has written with PUT to the object's status; a new spec leaves it as it is.
	Status json.RawMessage `json:"status,omitempty"`
}

// event is one change in the history, as watches return it.
type event struct {
	revision uint64
	kind     string
	Object   Object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// Store keeps objects in memory and serves the API; it is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]Object
	history  []event
	// historyStart is the revision after which the history is complete.
	historyStart uint64
	faults       Faults
	calls        int
	statusWrites []StatusWrite
	// era is how often the store has come back from a copy.
	era uint64
	// changed is closed and replaced at every change of objects or faults, which wakes the waiting calls.
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, historyStart: 1, objects: map[string]map[string]Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the injected faults and wakes the waiting calls.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns the number of calls received so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put creates or replaces an object, as operators do with a configuration and targets with their registration. A write
// of the same spec changes nothing.
func (s *Store) Put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, json.RawMessage(spec))
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.history = append(s.history, event{revision: s.revision, kind: kind, Object: o, Deleted: true})
	s.wake()
}

// Compact discards the history. Watches from before are answered with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyStart = nil, s.revision
	s.wake()
}

// Copy is the content of a store at some time.
type Copy struct {
	revision uint64
	objects  map[string]map[string]Object
}

// Copy returns a copy of the content.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{revision: s.revision, objects: cloneObjects(s.objects)}
}

// Restore replaces the content by an earlier copy and begins a new era. Revisions after the copy are given out again.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.objects = c.revision, cloneObjects(c.objects)
	s.history, s.historyStart = nil, c.revision
	s.wake()
}

// Rewrite lets the writers of the given kinds write again what the store lost when it came back from the copy old: the
// objects that it held in the copy last. Objects that were written since then stay.
func (s *Store) Rewrite(old, last *Copy, kinds ...string) {
	for _, k := range kinds {
		for n, o := range last.objects[k] {
			if s.revisionOf(k, n) <= old.revision {
				s.Put(k, n, string(o.Spec))
			}
		}
		for n := range old.objects[k] {
			if _, ok := last.objects[k][n]; !ok && s.revisionOf(k, n) <= old.revision {
				s.Delete(k, n)
			}
		}
	}
}

// revisionOf returns the revision of an object; zero if there is none.
func (s *Store) revisionOf(kind, name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Metadata.Revision
}

func cloneObjects(m map[string]map[string]Object) map[string]map[string]Object {
	n := map[string]map[string]Object{}
	for k, l := range m {
		n[k] = maps.Clone(l)
	}
	return n
}

// Names returns the names of the objects of a kind in alphabetical order.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names(kind)
}

// names does the same as Names; s.mu is held.
func (s *Store) names(kind string) []string {
	var l []string
	for n := range s.objects[kind] {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

// put writes an object and returns it; s.mu is held.
func (s *Store) put(kind, name string, spec json.RawMessage) Object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	o, ok := s.objects[kind][name]
	if ok && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !ok {
		o.Metadata = Metadata{Name: name, CreateRevision: s.revision}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.history = append(s.history, event{revision: s.revision, kind: kind, Object: o})
	s.wake()
	return o
}

// wake wakes the waiting calls; s.mu is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the object API with the current faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	f, era := s.faults, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	if f.Silent {
		s.waitWhileSilent(r)
		panic(http.ErrAbortHandler)
	}
	if f.Status != 0 {
		w.WriteHeader(f.Status)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	case r.Method == http.MethodPut && strings.HasSuffix(name, statusSuffix):
		s.writeStatus(w, r, kind, strings.TrimSuffix(name, statusSuffix))
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// waitWhileSilent blocks until the caller cancels the call or the store is no longer silent.
func (s *Store) waitWhileSilent(r *http.Request) {
	for {
		s.mu.Lock()
		changed, silent := s.changed, s.faults.Silent
		s.mu.Unlock()
		if !silent {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// list serves a page of the objects of a kind, in order of their names.
func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var a struct {
		Items []Object `json:"items"`
		More  bool     `json:"more"`
		AsOf  uint64   `json:"as-of"`
	}
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	a.AsOf = s.revision
	if r.URL.Query().Get("allow-stale") != "" {
		a.AsOf -= min(s.faults.StaleBy, a.AsOf-1)
	}
	for _, n := range s.names(kind) {
		if n <= r.URL.Query().Get("after") || s.objects[kind][n].Metadata.Revision > a.AsOf {
			continue
		}
		if len(a.Items) == PageSize {
			a.More = true
			break
		}
		a.Items = append(a.Items, s.objects[kind][n])
	}
	writeJSON(w, http.StatusOK, a)
}

// watch serves the changes of a kind after a revision. It waits for the first one until wait-ms have passed.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var a struct {
			Events []event `json:"events"`
			AsOf   uint64  `json:"as-of"`
		}
		a.AsOf = s.revision
		changed, historyGone := s.changed, since < s.historyStart || since > s.revision
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		f := s.faults
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				a.Events = append(a.Events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case f.Silent:
			s.waitWhileSilent(r)
			panic(http.ErrAbortHandler)
		case f.Status != 0:
			w.WriteHeader(f.Status)
			return
		case historyGone:
			w.WriteHeader(http.StatusGone)
			return
		case len(a.Events) > 0 && (f.LoseWatches == kind || f.LoseWatches == AllKinds):
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case len(a.Events) > 0:
			writeJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// write creates an object (POST), which fails if there is one of that name, or replaces it (PUT), unless it is not at
// the revision that the call names.
func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
		if old, ok := s.objects[kind][name]; ok {
			writeJSON(w, http.StatusConflict, old)
			return
		}
	}
	if old := s.objects[kind][name]; o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision {
		writeJSON(w, http.StatusConflict, old)
		return
	}
	n := s.put(kind, name, o.Spec)
	if s.faults.LoseWrites {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, n)
}

// statusSuffix is the end of the path of an object's status.
const statusSuffix = "/status"

// writeStatus replaces the status of an object, unless the object is not at the revision that the call names.
func (s *Store) writeStatus(w http.ResponseWriter, r *http.Request, kind, name string) {
	var n Object
	if err := json.NewDecoder(r.Body).Decode(&n); err != nil || n.Metadata.Name != name {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
		return
	case o.Metadata.Revision != n.Metadata.Revision:
		writeJSON(w, http.StatusConflict, o)
		return
	}
	s.revision++
	o.Metadata.Revision, o.Status = s.revision, n.Status
	s.objects[kind][name] = o
	s.history = append(s.history, event{revision: s.revision, kind: kind, Object: o})
	s.statusWrites = append(s.statusWrites, StatusWrite{Kind: kind, Name: name, At: time.Now(), Status: string(n.Status)})
	s.wake()
	if s.faults.LoseWrites {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, o)
}

// StatusWrite is a status that has been written to an object.
type StatusWrite struct {
	Kind, Name string
	At         time.Time
	Status     string
}

// StatusWrites returns all writes of statuses, in order.
func (s *Store) StatusWrites() []StatusWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.statusWrites)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller closed the connection; it gets no complete response then.
	_ = json.NewEncoder(w).Encode(v)
}
