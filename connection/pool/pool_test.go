package pool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// fakeConn counts only whether it is open.
type fakeConn struct {
	net.Conn
	open *atomic.Int32
}

func (c *fakeConn) Close() error {
	c.open.Add(-1)
	return nil
}

func dialFake(open *atomic.Int32) Dial {
	return func(context.Context, string, string) (net.Conn, error) {
		open.Add(1)
		return &fakeConn{open: open}, nil
	}
}

// getFor returns a connection for a request with the ID, or for a probe if the ID is empty.
func getFor(p *Pool, maxIdle time.Duration, id ident.Request) (*Conn, error) {
	if id == "" {
		return p.Get(context.Background(), maxIdle)
	}
	return p.GetFor(context.Background(), maxIdle, id)
}

// TestPoolModel checks the pool against a model that counts connections: never more open than the limit, none leaked,
// none handed out twice, none handed out that was idle for longer than asked for, and none handed out for a request
// whose ID it has carried.
func TestPoolModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 4
		const maxIdle = 10 * time.Second
		var open atomic.Int32
		f := clock.NewFake()
		p := New("a", limit, maxIdle, dialFake(&open), f)
		var taken []*Conn
		carried := map[*Conn][]ident.Request{}
		with := func(do func(*Conn)) {
			if len(taken) == 0 {
				return
			}
			i := rapid.IntRange(0, len(taken)-1).Draw(t, "i")
			c := taken[i]
			taken = append(taken[:i:i], taken[i+1:]...)
			do(c)
		}
		t.Repeat(map[string]func(*rapid.T){
			"Get": func(t *rapid.T) {
				asked := time.Duration(rapid.IntRange(0, 15).Draw(t, "asked")) * time.Second
				id := ident.Request(rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "id"))
				c, err := getFor(p, asked, id)
				if err != nil {
					if !errors.Is(err, ErrFull) || len(taken) < limit {
						t.Fatalf("Get: %v with %d of %d connections taken, want an error only at the limit", err, len(taken), limit)
					}
					return
				}
				for _, o := range taken {
					if o == c {
						t.Fatal("Get returned a connection that is already taken, want each taken once")
					}
				}
				if u := f.Now().Sub(c.LastResponse); u > min(asked, maxIdle) {
					t.Fatalf("Get returned a connection idle for %s, want at most %s", u, min(asked, maxIdle))
				}
				if id != "" {
					if slices.Contains(carried[c], id) {
						t.Fatalf("GetFor returned a connection that has carried %s", id)
					}
					c.Carry(id, "GET")
					carried[c] = append(carried[c], id)
				}
				c.Sent = f.Now()
				taken = append(taken, c)
			},
			"Put":       func(*rapid.T) { with(p.Put) },
			"PutUnused": func(*rapid.T) { with(p.PutUnused) },
			"Discard":   func(*rapid.T) { with(p.Discard) },
			"EvictSuspects": func(*rapid.T) {
				with(func(c *Conn) {
					p.EvictSuspects(c)
					p.Discard(c)
					for _, i := range p.idle {
						if i.Opened <= c.Opened && i.LastResponse < c.Sent {
							t.Fatal("idle connection opened no later than the suspect, without a later response, is open, want it closed")
						}
					}
				})
			},
			"Advance": func(t *rapid.T) {
				f.Advance(time.Duration(rapid.IntRange(0, 12).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) {
				if n := int(open.Load()); n != p.OpenConnections() || n > limit || n != len(taken)+len(p.idle) {
					t.Fatalf("%d connections open, want %d as the pool counts, %d taken plus %d idle, and at most %d",
						n, p.OpenConnections(), len(taken), len(p.idle), limit)
				}
			},
		})
	})
}

// TestConcurrentDials checks that at most maxConcurrentDials connections are opened at the same time.
func TestConcurrentDials(t *testing.T) {
	var now, most atomic.Int32
	gate := make(chan struct{})
	p := New("a", 20, time.Minute, func(context.Context, string, string) (net.Conn, error) {
		if n := now.Add(1); n > most.Load() {
			most.Store(n)
		}
		<-gate
		now.Add(-1)
		return &fakeConn{open: &atomic.Int32{}}, nil
	}, clock.NewFake())
	got := make(chan error, 20)
	for range 20 {
		go func() {
			_, err := p.Get(context.Background(), time.Minute)
			got <- err
		}()
	}
	for range 20 {
		gate <- struct{}{}
	}
	for range 20 {
		if err := <-got; err != nil {
			t.Error(err)
		}
	}
	if n := most.Load(); n > maxConcurrentDials {
		t.Errorf("%d concurrent dials, want at most %d", n, maxConcurrentDials)
	}
}

// TestUsable checks Usable after each thing that the other side can do to an idle connection.
func TestUsable(t *testing.T) {
	rows := []struct {
		name string
		do   func(c net.Conn)
		want bool
	}{
		{"nothing", func(net.Conn) {}, true},
		{"close", func(c net.Conn) { _ = c.Close() }, false},
		{"reset", func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() }, false},
		{"surplus bytes", func(c net.Conn) { _, _ = c.Write([]byte("HTTP")) }, false},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			n, err := DialTCP(context.Background(), "tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			o, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = o.Close() }()
			r.do(o)
			c := newConn(n, 1)
			// What the other side does takes a moment to reach this socket, so wait until Usable shows it.
			for end := time.Now().Add(2 * time.Second); c.Usable() != r.want && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if got := c.Usable(); got != r.want {
				t.Errorf("usable %t, want %t", got, r.want)
			}
		})
	}
}

// TestDialBackoff checks that requests don't dial an address while its last dial has just failed.
func TestDialBackoff(t *testing.T) {
	dials := 0
	f := clock.NewFake()
	errDial := errors.New("host unreachable")
	p := New("a", 20, time.Minute, func(context.Context, string, string) (net.Conn, error) {
		dials++
		return nil, errDial
	}, f)
	for _, want := range []int{1, 1, 2} {
		_, err := p.Get(context.Background(), time.Minute)
		if !errors.Is(err, errDial) || dials != want || p.OpenConnections() != 0 {
			t.Errorf("error %v after %d dials, want %d dials; %d connections open", err, dials, want, p.OpenConnections())
		}
		f.Advance(dialBackoff / 2)
	}
}

// TestCarriedBounded guards against a connection whose list of carried requests grows without end, and against one that
// is given up sooner than that needs.
func TestCarriedBounded(t *testing.T) {
	var open atomic.Int32
	p := New("a", 4, time.Minute, dialFake(&open), clock.NewFake())
	conns := map[*Conn]int{}
	for i := range 3 * maxCarried {
		c, err := p.GetFor(context.Background(), time.Minute, ident.Request(fmt.Sprint("r", i)))
		if err != nil {
			t.Fatal(err)
		}
		c.Carry(ident.Request(fmt.Sprint("r", i)), "GET")
		conns[c]++
		p.Put(c)
	}
	// Two IDs with the same hash take another connection.
	if n := len(conns); n < 3 || n > 4 {
		t.Errorf("%d connections for %d requests, want 3", n, 3*maxCarried)
	}
	for _, n := range conns {
		if n > maxCarried {
			t.Errorf("a connection carried %d requests, want at most %d", n, maxCarried)
		}
	}
	if n := open.Load(); n > 2 {
		t.Errorf("%d connections open, want at most 2", n)
	}
}
