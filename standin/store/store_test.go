package store_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/process/platform"
	"github.com/amaranthramp/amaranthramp/standin/store"
)

// client is the interface of both clients.
type client interface {
	platform.Store
	platform.Deleter
}

// httpClient returns a client that uses the store over HTTP.
func httpClient(t *testing.T, s *store.Store) client {
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return platform.New(h.URL, h.Client(), clock.NewFake())
}

// TestClients runs the same checks on the client over HTTP and the one in the same process.
func TestClients(t *testing.T) {
	for name, newClient := range map[string]func(*testing.T, *store.Store) client{
		"http":  httpClient,
		"local": func(_ *testing.T, s *store.Store) client { return store.NewLocal(s) },
	} {
		t.Run(name, func(t *testing.T) {
			s := store.New()
			checkClient(t, newClient(t, s))
		})
	}
}

func checkClient(t *testing.T, c client) {
	ctx := context.Background()
	if _, err := c.Get(ctx, "x"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("get of a missing object: error %v, want ErrNotFound", err)
	}
	if _, err := c.Put(ctx, platform.Object{Name: "x", Revision: 7, Value: []byte("a")}); !errors.Is(err,
		platform.ErrConflict) {
		t.Fatalf("put with a wrong revision: error %v, want ErrConflict", err)
	}
	r, err := c.Put(ctx, platform.Object{Name: "x", Value: []byte("a")})
	if err != nil || r == 0 {
		t.Fatalf("first put: revision %d, error %v; want a revision other than 0", r, err)
	}
	if _, err := c.Put(ctx, platform.Object{Name: "x", Value: []byte("b")}); !errors.Is(err, platform.ErrConflict) {
		t.Fatalf("put with revision 0 of an existing object: error %v, want ErrConflict", err)
	}
	if o, err := c.Watch(ctx, "x", r, time.Millisecond); err != nil || o.Revision != r || string(o.Value) != "a" {
		t.Fatalf("watch without a change: object %+v, error %v; want value a at revision %d", o, err, r)
	}
	go func() { _, _ = c.Put(ctx, platform.Object{Name: "x", Revision: r, Value: []byte("c")}) }()
	if o, err := c.Watch(ctx, "x", r, time.Minute); err != nil || o.Revision <= r || string(o.Value) != "c" {
		t.Fatalf("watch with a change: object %+v, error %v; want value c after revision %d", o, err, r)
	}
	for range 2 {
		if err := c.Delete(ctx, "x"); err != nil {
			t.Fatalf("delete: %v", err)
		}
	}
	if _, err := c.Get(ctx, "x"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("get of a deleted object: error %v, want ErrNotFound", err)
	}
}

// TestFaults checks what clients see of a lost response, a stale list of VMs and an outage, and that calls are counted
// by kind.
func TestFaults(t *testing.T) {
	ctx := context.Background()
	s := store.New()
	s.SetVMs([]platform.VM{{Address: "10.0.0.1:1"}})
	s.SetFaults(store.Faults{LoseEvery: 1, StaleVMs: true})
	s.SetVMs([]platform.VM{{Address: "10.0.0.1:1", Leaving: true}})
	if _, err := httpClient(t, s).Put(ctx, platform.Object{Name: "x", Value: []byte("a")}); err == nil ||
		errors.Is(err, platform.ErrNotSent) || errors.Is(err, platform.ErrConflict) {
		t.Fatalf("put with a lost response: error %v, want one other than ErrNotSent and ErrConflict", err)
	}
	if o, err := httpClient(t, s).Get(ctx, "x"); err != nil || string(o.Value) != "a" {
		t.Fatalf("get after a write whose response was lost: object %+v, error %v; want value a", o, err)
	}
	if l, err := httpClient(t, s).VMs(ctx); err != nil || l[0].Leaving {
		t.Fatalf("list of VMs is %+v, error %v; want the stale list, without a leaving VM", l, err)
	}
	c := httpClient(t, s)
	go s.SetFaults(store.Faults{Down: true})
	if _, err := c.Watch(ctx, "x", 1, time.Minute); err == nil {
		t.Fatal("a watch succeeded although the store went down, want an error")
	}
	shortCtx, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	if _, err := c.Get(shortCtx, "x"); !errors.Is(err, platform.ErrNotSent) {
		t.Fatalf("get during the back-off: error %v, want ErrNotSent", err)
	}
	if n := s.Calls(); n.Reads != 1 || n.Watches != 1 || n.Writes != 1 || n.Lists != 1 {
		t.Fatalf("calls: %+v, want one of each kind", n)
	}
}
