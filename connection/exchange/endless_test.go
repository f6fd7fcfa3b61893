package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthramp/amaranthramp/connection/pool"
	"github.com/amaranthramp/amaranthramp/process/clock"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// dialEndless returns a dial to connections in memory on which a text comes after the request, and then a part of it
// without end. It counts the bytes that are read.
func dialEndless(first, repeated string, read *atomic.Int64) pool.Dial {
	return func(context.Context, string, string) (net.Conn, error) {
		a, b := net.Pipe()
		go func() {
			defer func() { _ = b.Close() }()
			go func() { _, _ = io.Copy(io.Discard, b) }()
			for s := first; ; s = strings.Repeat(repeated, 1+4096/len(repeated)) {
				n, err := io.WriteString(b, s)
				read.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
		return a, nil
	}
}

// TestBytesWithoutEnd checks that an exchange and a health check end after a bounded number of bytes, wherever in a
// response the bytes without end come.
func TestBytesWithoutEnd(t *testing.T) {
	const id = "X-Request: r-1\r\n"
	rows := []struct{ name, first, repeated string }{
		{"no response", "", "x"},
		{"empty lines", "", "\r\n"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"name of a field", "HTTP/1.1 200 OK\r\n" + id, "x"},
		{"value of a field", "HTTP/1.1 200 OK\r\n" + id + "X-A: ", "x"},
		{"folded field", "HTTP/1.1 200 OK\r\n" + id + "X-A: x\r\n", " x\r\n"},
		{"fields", "HTTP/1.1 200 OK\r\n" + id, "X-A: x\r\n"},
		{"fields of HTTP/1.0", "HTTP/1.0 200 OK\r\n" + id, "X-A: x\r\n"},
		{"status 000", "HTTP/1.1 000 No\r\n" + id + "\r\n", "x"},
		{"informational responses", "", "HTTP/1.1 103 Hints\r\n\r\n"},
		{"body without length", "HTTP/1.1 200 OK\r\n" + id + "\r\n", "x"},
		{"chunks", "HTTP/1.1 200 OK\r\n" + id + chunked, "1\r\nx\r\n"},
		{"size of a chunk", "HTTP/1.1 200 OK\r\n" + id + chunked, "0"},
		{"extension of a chunk", "HTTP/1.1 200 OK\r\n" + id + chunked + "1;", "x"},
		{"large chunk", "HTTP/1.1 200 OK\r\n" + id + chunked + "7fffffffffffffff\r\n", "x"},
		{"large length", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 9223372036854775807\r\n\r\n", "x"},
		{"trailers", "HTTP/1.1 200 OK\r\n" + id + chunked + "0\r\n", "X-A: x\r\n"},
		{"responses to another request", "", otherResponse},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			var read atomic.Int64
			c := clock.New()
			p := NewPool("t", 1, dialEndless(r.first, r.repeated, &read), c)
			defer p.Close()
			d := NewTargetClient("i-1", "t", p, c, names, NewBodyBudget(0), func(Notice, error) {})
			k := callWithID("r-1")
			k.Method, k.Body = http.MethodGet, nil
			x := d.Do(context.Background(), nil, k, allow)
			if _, ok := x.Event.(outcome.Broken); !ok || x.Event == (outcome.Broken{Reason: outcome.Expired}) {
				t.Errorf("event %#v, want broken before the deadline", x.Event)
			}
			if n, most := read.Load(), int64(NewBodyBudget(0).maxResponseBytes()+maxHeaderBytes); n > most {
				t.Errorf("%d bytes read, want at most %d", n, most)
			}
			read.Store(0)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			if _, n, err := d.Probe(ctx, "/health"); err == nil && n != nil {
				t.Error("connection kept after a health answer without end")
			}
			if n, most := read.Load(), 2*int64(maxHeaderBytes); n > most || ctx.Err() != nil {
				t.Errorf("health check: %d bytes read, context error %v, want at most %d bytes", n, ctx.Err(), most)
			}
		})
	}
}
