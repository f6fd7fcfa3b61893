package logsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/amaranthramp/amaranthramp/process/ring"
)

// The bounds on what waits to be written and on what is written.
const (
	maxWaiting = 1024
	// linesPerSecond bounds the volume; lines beyond it are dropped and counted.
	linesPerSecond = 1000
	// flushTimeout bounds how long Close waits for a reader.
	flushTimeout = 200 * time.Millisecond
)

// Sink is a writer of whole lines that never blocks; it is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	cancel  context.CancelFunc
	done    chan struct{}
}

// New returns a sink that writes to out in a goroutine of its own until it is closed.
func New(out io.Writer) *Sink {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sink{out: out, lines: ring.New[[]byte](maxWaiting), cancel: cancel, done: make(chan struct{})}
	go s.run(ctx)
	return s
}

// Write takes one line; it never fails.
func (s *Sink) Write(b []byte) (int, error) {
	l := make([]byte, len(b))
	copy(l, b)
	if !s.lines.Offer(l) {
		s.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns how many lines were dropped so far.
func (s *Sink) Dropped() uint64 {
	return s.dropped.Load()
}

// Close writes what waits, as far as the reader takes it in time.
func (s *Sink) Close() {
	s.cancel()
	select {
	case <-s.done:
	case <-time.After(flushTimeout):
	}
}

func (s *Sink) run(ctx context.Context) {
	defer close(s.done)
	var second int64
	written, told := 0, uint64(0)
	for {
		select {
		case l := <-s.lines.Out():
			if n := time.Now().Unix(); n != second {
				second, written = n, 0
				told = s.tell(told)
			}
			if written++; written > linesPerSecond {
				s.dropped.Add(1)
				continue
			}
			// There is nowhere to report that the log can't be written.
			_, _ = s.out.Write(l)
		case <-ctx.Done():
			s.flush()
			s.tell(told)
			return
		}
	}
}

func (s *Sink) flush() {
	for {
		select {
		case l := <-s.lines.Out():
			_, _ = s.out.Write(l)
		default:
			return
		}
	}
}

// tell writes how many lines were dropped since it last did.
func (s *Sink) tell(told uint64) uint64 {
	n := s.dropped.Load()
	if n > told {
		_, _ = fmt.Fprintf(s.out, `{"level":"warn","Dropped":%d,"message":"log lines dropped"}`+"\n", n-told)
	}
	return n
}
