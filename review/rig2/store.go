package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems and pageBytes bound a page of a listing.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// answerTime is how long the store takes to answer a call.
const answerTime = 4 * time.Millisecond

// metadata is the metadata of an object of the store.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"create-revision"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is a change of an object.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	at      time.Time
}

// history is how long the store keeps changes.
const history = 20 * time.Second

// store is the platform's metadata store, as far as gateways, targets and the operator use it.
type store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	events  []event
	changed chan struct{}
	// dropped is the revision up to which changes are gone.
	dropped uint64
}

// newStore starts a store at an address.
func newStore(address string) (*store, error) {
	s := &store{address: address, rev: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes an object regardless of its revision; it changes nothing if the specification is the same.
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
	s.rev++
	if !ok {
		o.Metadata = metadata{Name: name, Created: s.rev, Finalizers: []string{}}
	}
	o.Metadata.Revision, o.Spec = s.rev, spec
	s.objects[kind][name] = o
	s.publish(event{Object: o, kind: kind})
	return o
}

// publish wakes the watches; the lock must be held.
func (s *store) publish(e event) {
	e.at = time.Now()
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers a call of a gateway.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && q.Get("watch") != "":
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, kind, q.Get("after"))
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.serveWrite(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	n, size := 0, 0
	for n < len(items) && n < pageItems && size < pageBytes {
		size += len(items[n].Spec)
		n++
	}
	answer(w, http.StatusOK, map[string]any{"items": items[:n], "more": n < len(items), "as-of": s.rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.dropHistory()
		if since < s.dropped {
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]any{})
			return
		}
		l := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > since {
				l = append(l, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(l) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": l, "as-of": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": l, "as-of": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// dropHistory drops changes that are older than the history; the lock must be held.
func (s *store) dropHistory() {
	for len(s.events) > 0 && time.Since(s.events[0].at) > history {
		s.dropped = s.events[0].Object.Metadata.Revision
		s.events = s.events[1:]
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
		if present, ok := s.objects[kind][name]; ok {
			answer(w, http.StatusConflict, present)
			return
		}
	}
	answer(w, http.StatusOK, s.write(kind, name, o.Spec))
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
