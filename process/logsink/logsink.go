package logsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/amaranthramp/amaranthramp/process/ring"
)

const (
	// maxQueued bounds the lines that wait to be written.
	maxQueued = 1024
	// linesPerSecond bounds the rate of lines written; lines beyond it are dropped and counted.
	linesPerSecond = 1000
	// flushTimeout bounds how long Close waits for a slow reader of the output.
	flushTimeout = 200 * time.Millisecond
)

// Sink is a non-blocking io.Writer that takes one whole line per call; it is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	cancel  context.CancelFunc
	done    chan struct{}
}

// New returns a sink that writes to out from its own goroutine until Close is called.
func New(out io.Writer) *Sink {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sink{out: out, lines: ring.New[[]byte](maxQueued), cancel: cancel, done: make(chan struct{})}
	go s.run(ctx)
	return s
}

// Write queues a copy of one line; it never fails.
func (s *Sink) Write(b []byte) (int, error) {
	l := make([]byte, len(b))
	copy(l, b)
	if !s.lines.Offer(l) {
		s.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() uint64 {
	return s.dropped.Load()
}

// Close writes the queued lines; it gives up after flushTimeout if the reader of the output is too slow.
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
	written, reported := 0, uint64(0)
	for {
		select {
		case l := <-s.lines.Out():
			if n := time.Now().Unix(); n != second {
				second, written = n, 0
				reported = s.reportDropped(reported)
			}
			if written++; written > linesPerSecond {
				s.dropped.Add(1)
				continue
			}
			// A failure to write the log can't be reported anywhere.
			_, _ = s.out.Write(l)
		case <-ctx.Done():
			s.flush()
			s.reportDropped(reported)
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

// reportDropped logs how many lines were dropped since the total was last reported, and returns the new total.
func (s *Sink) reportDropped(reported uint64) uint64 {
	n := s.dropped.Load()
	if n > reported {
		_, _ = fmt.Fprintf(s.out, `{"level":"warn","Dropped":%d,"message":"log lines dropped"}`+"\n", n-reported)
	}
	return n
}
