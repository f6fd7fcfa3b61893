package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingWriter blocks in Write until open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	b    bytes.Buffer
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(b)
}

func (w *blockingWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.String()
}

// TestBlockedOutput checks that Write doesn't block while the output is blocked, and that lost lines are counted.
func TestBlockedOutput(t *testing.T) {
	w := &blockingWriter{open: make(chan struct{})}
	s := New(w)
	began := time.Now()
	const lines = 3 * maxQueued
	for range lines {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if d := time.Since(began); d > time.Second {
		t.Errorf("writing %d lines took %s, want at most 1s", lines, d)
	}
	if n := s.Dropped(); n < lines-maxQueued-1 {
		t.Errorf("%d of %d lines dropped, want at least %d with a queue of %d", n, lines, lines-maxQueued-1, maxQueued)
	}
	s.Close()
	close(w.open)
}

// TestRateLimit checks that the rate of lines is bounded, and that the log reports dropped lines.
func TestRateLimit(t *testing.T) {
	w := &blockingWriter{open: make(chan struct{})}
	close(w.open)
	s := New(w)
	began := time.Now()
	for time.Since(began) < 300*time.Millisecond {
		_, _ = s.Write([]byte("line\n"))
	}
	s.Close()
	seconds := int(time.Since(began)/time.Second) + 2
	if n := strings.Count(w.text(), "line\n"); n > seconds*linesPerSecond+maxQueued {
		t.Errorf("%d lines written in less than %d s, want at most %d", n, seconds, seconds*linesPerSecond+maxQueued)
	}
	if !strings.Contains(w.text(), "log lines dropped") {
		t.Error("log does not report the dropped lines, want a line \"log lines dropped\"")
	}
}

// TestLinesIntact checks that lines are written in order, and unchanged when the writer reuses its buffer.
func TestLinesIntact(t *testing.T) {
	w := &blockingWriter{open: make(chan struct{})}
	close(w.open)
	s := New(w)
	b := []byte("a\n")
	_, _ = s.Write(b)
	b[0] = 'x'
	_, _ = s.Write([]byte("b\n"))
	s.Close()
	if w.text() != "a\nb\n" {
		t.Errorf("log is %q, want %q", w.text(), "a\nb\n")
	}
}
