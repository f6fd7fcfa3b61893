package objects

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// PageSize is the number of objects on a page.
const PageSize = 5

// Faults is what the store does wrong; the zero value is a store that works.
type Faults struct {
	// Status refuses every call with this status.
	Status int
	// Silent leaves every call without an answer until it is withdrawn.
	Silent bool
	// LoseWrites does writes and breaks off the connection before the answer.
	LoseWrites bool
	// StaleBy is how many revisions stale answers are behind; only listings are.
	StaleBy uint64
}

// Metadata is what the store keeps of each object.
type Metadata struct {
	Name           string `json:"name"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create-revision"`
}

// Object is one object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// event is one change in the history.
type event struct {
	revision uint64
	kind     string
	Object   Object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// Store is the stand-in; it is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]Object
	history  []event
	// from is the revision after which the history is complete.
	from    uint64
	faults  Faults
	calls   int
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, from: 1, objects: map[string]map[string]Object{}, changed: make(chan struct{})}
}

// Set sets the faults and wakes the calls that wait.
func (s *Store) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns how many calls came so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object as the operator or a target does.
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

// Compact forgets the history and cuts the watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.from = nil, s.revision
	s.wake()
}

// Names returns the names of a kind, in order.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names(kind)
}

func (s *Store) names(kind string) []string {
	var l []string
	for n := range s.objects[kind] {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

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

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	f := s.faults
	s.mu.Unlock()
	if f.Silent {
		s.hang(r)
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
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// hang holds a call until it is withdrawn or the store is no longer silent.
func (s *Store) hang(r *http.Request) {
	for {
		s.mu.Lock()
		c, silent := s.changed, s.faults.Silent
		s.mu.Unlock()
		if !silent {
			return
		}
		select {
		case <-c:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var a struct {
		Items []Object `json:"items"`
		More  bool     `json:"more"`
		AsOf  uint64   `json:"as-of"`
	}
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
	answer(w, http.StatusOK, a)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var a struct {
			Events []event `json:"events"`
			AsOf   uint64  `json:"as-of"`
		}
		a.AsOf = s.revision
		c, gone := s.changed, since < s.from
		f := s.faults
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				a.Events = append(a.Events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case f.Silent:
			s.hang(r)
			panic(http.ErrAbortHandler)
		case f.Status != 0:
			w.WriteHeader(f.Status)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(a.Events) > 0:
			answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-c:
		case <-over:
			answer(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

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
			answer(w, http.StatusConflict, old)
			return
		}
	}
	n := s.put(kind, name, o.Spec)
	if s.faults.LoseWrites {
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, n)
}

func answer(w http.ResponseWriter, status int, a any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Whoever went away finds the answer missing.
	_ = json.NewEncoder(w).Encode(a)
}
