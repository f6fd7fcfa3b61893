package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The headers of the platform.
const (
	headerID       = "Amaranthramp-Attempt-Id"
	headerTime     = "Amaranthramp-Timeout-Remaining"
	headerSeal     = "Amaranthramp-Server-Seal"
	headerExpected = "Amaranthramp-Expected-Instance"
	headerLoad     = "Amaranthramp-Server-Load"
	headerNotRun   = "Amaranthramp-Not-Executed"
	headerInstance = "Amaranthramp-Instance-Id"
	headerTenant   = "Amaranthramp-Tenant"
)

// targetSlots is the number of requests that a target runs at the same time.
const targetSlots = 3

// target is a sound server of one service. Its answers name the service.
type target struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	born                       int64
	record                     *record
	server                     *http.Server

	mu      sync.Mutex
	running int
	// starts holds the requests that the target has begun to run.
	starts []start
}

// start is the start of a run.
type start struct {
	id string
	at time.Time
}

// newTarget starts a target on a free port of an address.
func newTarget(r *record, ip, id, service, zone string, work time.Duration) (*target, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	t := &target{
		id: id, service: service, zone: zone, address: l.Addr().String(), slots: targetSlots, work: work, record: r,
		born: time.Now().Add(-time.Hour).UnixMilli(),
	}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(l) }()
	return t, nil
}

// registration returns the entry that the target writes to the store.
func (t *target) registration() registration {
	return registration{
		Address: t.address, Born: t.born,
		Info: registrationInfo{
			Service: t.service, Version: "v1", Zone: t.zone, MaxConcurrency: t.slots,
		},
		Status: registrationStatus{State: "ready", SeqNo: 1},
	}
}

// ServeHTTP answers health probes, and runs all other requests that expect this target.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerInstance, t.id)
	if e := r.Header.Get(headerExpected); e != "" && e != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set(headerLoad, t.load())
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !t.begin(id) {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.record.add("run      %s at %s (%s) %s %s, %d bytes of body", id, t.id, t.service, r.Method, r.URL.Path, len(body))
	time.Sleep(t.work)
	w.Header().Set(headerLoad, t.load())
	t.end()
	b := "service " + t.service + "\n"
	w.Header().Set(headerSeal, fmt.Sprintf("%s.%d", id, len(b)))
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = io.WriteString(w, b)
}

func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", min(t.running, t.slots), max(t.running-t.slots, 0), t.slots)
}

// begin counts a request, unless the queue is full.
func (t *target) begin(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running >= t.slots+12 {
		return false
	}
	t.running++
	t.starts = append(t.starts, start{id: id, at: time.Now()})
	return true
}

func (t *target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// after returns the requests that began to run later than the given time after an instant, oldest first.
func (t *target) after(at time.Time, d time.Duration) []start {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []start
	for _, s := range t.starts {
		if s.at.Sub(at) > d {
			l = append(l, s)
		}
	}
	return l
}

// began reports whether the target has begun to run a request.
func (t *target) began(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.starts {
		if s.id == id {
			return true
		}
	}
	return false
}
