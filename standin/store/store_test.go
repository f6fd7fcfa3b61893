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

// client is what both implementations promise.
type client interface {
	platform.Store
	platform.Deleter
}

func overHTTP(t *testing.T, s *store.Store) client {
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return platform.New(h.URL, h.Client(), clock.NewFake())
}

func TestContract(t *testing.T) {
	for name, make := range map[string]func(*testing.T, *store.Store) client{
		"http":  overHTTP,
		"local": func(_ *testing.T, s *store.Store) client { return store.NewLocal(s) },
	} {
		t.Run(name, func(t *testing.T) {
			s := store.New()
			contract(t, make(t, s))
		})
	}
}

func contract(t *testing.T, c client) {
	ctx := context.Background()
	if _, err := c.Get(ctx, "x"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("get of a missing object: %v", err)
	}
	if _, err := c.Put(ctx, platform.Object{Name: "x", Revision: 7, Value: []byte("a")}); !errors.Is(err,
		platform.ErrConflict) {
		t.Fatalf("put with a wrong revision: %v", err)
	}
	r, err := c.Put(ctx, platform.Object{Name: "x", Value: []byte("a")})
	if err != nil || r == 0 {
		t.Fatalf("first put: %d %v", r, err)
	}
	if _, err := c.Put(ctx, platform.Object{Name: "x", Value: []byte("b")}); !errors.Is(err, platform.ErrConflict) {
		t.Fatalf("second put of a new object: %v", err)
	}
	if o, err := c.Watch(ctx, "x", r, time.Millisecond); err != nil || o.Revision != r || string(o.Value) != "a" {
		t.Fatalf("watch without a change: %+v %v", o, err)
	}
	go func() { _, _ = c.Put(ctx, platform.Object{Name: "x", Revision: r, Value: []byte("c")}) }()
	if o, err := c.Watch(ctx, "x", r, time.Minute); err != nil || o.Revision <= r || string(o.Value) != "c" {
		t.Fatalf("watch of a change: %+v %v", o, err)
	}
	for range 2 {
		if err := c.Delete(ctx, "x"); err != nil {
			t.Fatalf("delete: %v", err)
		}
	}
	if _, err := c.Get(ctx, "x"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("get of a deleted object: %v", err)
	}
}

func TestFaults(t *testing.T) {
	ctx := context.Background()
	s := store.New()
	s.SetVMs([]platform.VM{{Address: "10.0.0.1:1"}})
	s.SetFaults(store.Faults{LoseEvery: 1, StaleVMs: true})
	s.SetVMs([]platform.VM{{Address: "10.0.0.1:1", Leaving: true}})
	if _, err := overHTTP(t, s).Put(ctx, platform.Object{Name: "x", Value: []byte("a")}); err == nil ||
		errors.Is(err, platform.ErrNotSent) || errors.Is(err, platform.ErrConflict) {
		t.Fatalf("put with a lost answer: %v", err)
	}
	if o, err := overHTTP(t, s).Get(ctx, "x"); err != nil || string(o.Value) != "a" {
		t.Fatalf("the write whose answer was lost did not take effect: %+v %v", o, err)
	}
	if l, err := overHTTP(t, s).VMs(ctx); err != nil || l[0].Leaving {
		t.Fatalf("the list is not stale: %+v %v", l, err)
	}
	c := overHTTP(t, s)
	go s.SetFaults(store.Faults{Down: true})
	if _, err := c.Watch(ctx, "x", 1, time.Minute); err == nil {
		t.Fatal("a watch outlived the outage")
	}
	short, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	if _, err := c.Get(short, "x"); !errors.Is(err, platform.ErrNotSent) {
		t.Fatalf("a call was sent during the back-off: %v", err)
	}
	if n := s.Calls(); n.Reads != 1 || n.Watches != 1 || n.Writes != 1 || n.Lists != 1 {
		t.Fatalf("counts: %+v", n)
	}
}
