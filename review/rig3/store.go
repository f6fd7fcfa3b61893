package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the most objects on a page of a listing, as PROTOCOL.md says.
const pageSize = 500

type metadata struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"create-revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is the platform's metadata store without any fault. It is safe for concurrent use.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	// losing is the kind whose watches' answers get lost, or empty. A connection on which one is lost returns nothing
	// further, and lost counts these, answered those that arrive while some get lost.
	losing         string
	lost, answered int
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put creates or replaces an object, as the operator and the targets do.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, b)
}

// write does the work of put; the lock must be held.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	if ok && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !ok {
		o.Metadata = metadata{Name: name, CreateRevision: s.revision, Finalizers: []string{}}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.publish(event{kind: kind, revision: s.revision, Object: o})
	return o
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.publish(event{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

// publish adds an event to the history and wakes the watches; the lock must be held.
func (s *store) publish(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// lose has the answers to the watches of a kind get lost from now on, or of none if it is empty. It returns how many
// answers to watches got lost since the last call, and how many did not.
func (s *store) lose(kind string) (lost, answered int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost, answered = s.lost, s.answered
	s.losing, s.lost, s.answered = kind, 0, 0
	return lost, answered
}

// loses reports whether the answer to a watch gets lost, and counts it.
func (s *store) loses(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == s.losing {
		s.lost++
		return true
	}
	s.answered++
	return false
}

// ServeHTTP serves the calls that PROTOCOL.md describes, as far as the gateway makes them.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch q := r.URL.Query(); {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && q.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, q.Get("after"))
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.change(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	a := struct {
		Items []object `json:"items"`
		More  bool     `json:"more"`
		AsOf  uint64   `json:"as-of"`
	}{Items: []object{}, AsOf: s.revision}
	for n, o := range s.objects[kind] {
		if n > after {
			a.Items = append(a.Items, o)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(a.Items, func(x, y object) int { return strings.Compare(x.Metadata.Name, y.Metadata.Name) })
	if len(a.Items) > pageSize {
		a.Items, a.More = a.Items[:pageSize], true
	}
	reply(w, http.StatusOK, a)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		a := struct {
			Events []event `json:"events"`
			AsOf   uint64  `json:"as-of"`
		}{Events: []event{}, AsOf: s.revision}
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				a.Events = append(a.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(a.Events) > 0 {
			s.answer(w, r, kind, a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, r, kind, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer answers a watch, unless the answer gets lost: then the connection stays open and returns nothing further.
func (s *store) answer(w http.ResponseWriter, r *http.Request, kind string, a any) {
	if s.loses(kind) {
		<-r.Context().Done()
		return
	}
	reply(w, http.StatusOK, a)
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	present, ok := s.objects[kind][name]
	switch n := o.Metadata.Revision; {
	case ok && (r.Method == http.MethodPost || n != 0 && n != present.Metadata.Revision):
		reply(w, http.StatusConflict, present)
	case !ok && r.Method == http.MethodPut:
		w.WriteHeader(http.StatusNotFound)
	default:
		reply(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
