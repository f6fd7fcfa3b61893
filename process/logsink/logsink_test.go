package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// gate is a writer that blocks until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	b    bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.b.Write(b)
}

func (g *gate) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.b.String()
}

// TestBlockedReader checks that writers never wait for a reader that doesn't read, and that what is lost is counted.
func TestBlockedReader(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	s := New(g)
	began := time.Now()
	const lines = 3 * maxWaiting
	for range lines {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if d := time.Since(began); d > time.Second {
		t.Errorf("%d lines took %s", lines, d)
	}
	if n := s.Dropped(); n < lines-maxWaiting-1 {
		t.Errorf("%d lines dropped of %d with room for %d", n, lines, maxWaiting)
	}
	s.Close()
	close(g.open)
}

// TestFlood checks that the volume is bounded, and that the log itself says how much was dropped.
func TestFlood(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	s := New(g)
	began := time.Now()
	for time.Since(began) < 300*time.Millisecond {
		_, _ = s.Write([]byte("line\n"))
	}
	s.Close()
	seconds := int(time.Since(began)/time.Second) + 2
	if n := strings.Count(g.text(), "line\n"); n > seconds*linesPerSecond+maxWaiting {
		t.Errorf("%d lines in less than %d s", n, seconds)
	}
	if !strings.Contains(g.text(), "log lines dropped") {
		t.Error("the log doesn't say that lines were dropped")
	}
}

// TestWhole checks that lines arrive whole and in order.
func TestWhole(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	s := New(g)
	b := []byte("a\n")
	_, _ = s.Write(b)
	b[0] = 'x'
	_, _ = s.Write([]byte("b\n"))
	s.Close()
	if g.text() != "a\nb\n" {
		t.Errorf("log is %q", g.text())
	}
}
