package archive_test

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/platform"
	"github.com/amaranthramp/amaranthramp/standin/store"
	"github.com/amaranthramp/amaranthramp/version/archive"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// The size that the system is designed for.
const (
	services    = 1400
	targets     = 16_000
	dataCentres = 27
)

// countingStore counts writes and their bytes, and records the size of the largest object and the names of all stored
// objects.
type countingStore struct {
	*store.Local
	t             *testing.T
	writes        int
	bytes         int
	largestObject int
	objects       map[string]bool
}

func (c *countingStore) Put(ctx context.Context, o platform.Object) (platform.Revision, error) {
	if len(o.Value) > platform.MaxValueBytes {
		c.t.Errorf("object %s has %d bytes, want at most %d", o.Name, len(o.Value), platform.MaxValueBytes)
	}
	c.writes++
	c.bytes += len(o.Value)
	c.largestObject = max(c.largestObject, len(o.Value))
	c.objects[o.Name] = true
	return c.Local.Put(ctx, o)
}

func (c *countingStore) Delete(ctx context.Context, name string) error {
	delete(c.objects, name)
	return c.Local.Delete(ctx, name)
}

func newLargeConfig() *config.Config {
	c := &config.Config{}
	for i := range dataCentres {
		c.DataCentre = append(c.DataCentre, config.DataCentre{Name: ident.DataCentre(fmt.Sprintf("dc-%d", i))})
	}
	for i := range services {
		c.Service = append(c.Service, config.Service{
			Name: ident.Service(fmt.Sprintf("service-%d", i)), Host: fmt.Sprintf("service-%d.example", i),
			Class: []config.Class{{Name: "Read", Methods: []string{"GET"}, PathPrefix: "/", Idempotent: true}},
		})
	}
	for i := range targets {
		s := &c.Service[i%services]
		s.Upstream = append(s.Upstream, config.Upstream{
			Name: ident.Upstream(fmt.Sprintf("%s-%d", s.Name, i)), DataCentre: c.DataCentre[i%dataCentres].Name,
			Address: ident.Address(fmt.Sprintf("10.%d.%d.1:9000", i/250, i%250)),
		})
	}
	c.Complete()
	return c
}

// TestLargeConfiguration checks that a change of one service writes one group and the head, and that the configuration
// is unchanged when it is loaded again.
func TestLargeConfiguration(t *testing.T) {
	ctx := context.Background()
	n := 0
	s := &countingStore{Local: store.NewLocal(store.New()), t: t, objects: map[string]bool{}}
	a := archive.New(s, func() string { n++; return fmt.Sprint(n) })
	first, err := a.Replace(ctx, archive.Empty(), newLargeConfig(), archive.Entry{Version: 1, Patch: "first"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("first version: %d writes, %d bytes, largest object %d bytes", s.writes, s.bytes, s.largestObject)
	c := newLargeConfig()
	c.Service[700].Slots = 9
	s.writes, s.bytes = 0, 0
	second, err := a.Replace(ctx, first, c, archive.Entry{Version: 2, Patch: "second"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("change of one service: %d writes, %d bytes", s.writes, s.bytes)
	if s.writes != 2 {
		t.Fatalf("a change of one service took %d writes, want 2", s.writes)
	}
	if len(s.objects) != len(second.Head.Group)+1 {
		t.Fatalf("%d objects are stored, want %d groups and a head", len(s.objects), len(second.Head.Group))
	}
	l, err := a.Load(ctx, archive.Empty())
	if err != nil {
		t.Fatal(err)
	}
	if f, ok := l.Config.FindService("service-700"); !ok || f.Slots != 9 || len(l.Config.Service) != services {
		t.Fatalf("loaded %d services with service-700 %+v, want %d services with 9 slots in service-700",
			len(l.Config.Service), f, services)
	}
	b, err := l.Text()
	if err != nil {
		t.Fatal(err)
	}
	if p, err := config.Parse(b); err != nil || !reflect.DeepEqual(p, l.Config) {
		t.Fatalf("the text is parsed as another configuration than the loaded one, error %v", err)
	}
}

// TestServiceTooLarge checks that a service above the platform's size limit is rejected and leaves no objects behind.
func TestServiceTooLarge(t *testing.T) {
	c := newLargeConfig()
	for i := range 20_000 {
		c.Service[0].Upstream = append(c.Service[0].Upstream, config.Upstream{Name: ident.Upstream(fmt.Sprint(i))})
	}
	s := &countingStore{Local: store.NewLocal(store.New()), t: t, objects: map[string]bool{}}
	a := archive.New(s, func() string { return "x" })
	_, err := a.Replace(context.Background(), archive.Empty(), c, archive.Entry{Version: 1}, nil)
	if !errors.Is(err, archive.ErrTooLarge) || len(s.objects) != 0 {
		t.Fatalf("a service of more than a megabyte: error %v, %d objects left; want ErrTooLarge and none", err,
			len(s.objects))
	}
}

// BenchmarkAssemble measures the work of a VM for a version that changes one service.
func BenchmarkAssemble(b *testing.B) {
	ctx := context.Background()
	n := 0
	l := store.NewLocal(store.New())
	a := archive.New(l, func() string { n++; return fmt.Sprint(n) })
	first, err := a.Replace(ctx, archive.Empty(), newLargeConfig(), archive.Entry{Version: 1}, nil)
	if err != nil {
		b.Fatal(err)
	}
	c := newLargeConfig()
	c.Service[700].Slots = 9
	second, err := a.Replace(ctx, first, c, archive.Entry{Version: 2}, nil)
	if err != nil {
		b.Fatal(err)
	}
	head, err := second.Head.Format()
	if err != nil {
		b.Fatal(err)
	}
	texts := map[string][]byte{}
	for _, g := range second.Head.Group {
		if _, ok := first.Group(g); !ok {
			texts[g], _ = second.Group(g)
		}
	}
	for b.Loop() {
		s, err := archive.Assemble(head, texts, first)
		if err != nil {
			b.Fatal(err)
		}
		if t, err := s.Text(); err != nil || len(t) == 0 {
			b.Fatal(err)
		}
	}
}
