package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// requestCount numbers the requests of all consumers.
var requestCount atomic.Int64

func newID() string {
	return fmt.Sprintf("%016x", uint64(0x9c41d07be2000000)+uint64(requestCount.Add(1)))
}

// consumer keeps one connection to a gateway.
type consumer struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// request is one attempt of a consumer.
type request struct {
	id     string
	method string
	path   string
	left   time.Duration
	header string
	body   []byte
}

func newRequest(method, path string, left time.Duration) request {
	return request{id: newID(), method: method, path: path, left: left}
}

// encode returns the head of the request.
func (r *request) encode() string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s",
		r.method, r.path, host, headerID, r.id, headerLeft, r.left.Milliseconds(), r.header)
	if r.body != nil || r.method == http.MethodPost {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return s + "\r\n"
}

// result is what a consumer saw of a request; status is zero if there was no complete answer.
type result struct {
	request
	status     int
	seal       string
	err        error
	sent, done time.Time
	// retryAfter is the time that the answer asks the consumer to wait.
	retryAfter time.Duration
}

func (c *consumer) connect() error {
	if c.conn != nil {
		return nil
	}
	n, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = n, bufio.NewReader(n)
	return nil
}

// closeIfEnded closes the connection if the gateway has closed it.
func (c *consumer) closeIfEnded() {
	if c.conn == nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	var n net.Error
	if _, err := c.reader.Peek(1); !errors.As(err, &n) || !n.Timeout() {
		c.close()
	}
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends a request on the kept connection and reads the answer.
func (c *consumer) do(r request) result {
	o := result{request: r, sent: time.Now()}
	if o.err = c.connect(); o.err != nil {
		o.done = time.Now()
		return o
	}
	_ = c.conn.SetDeadline(time.Now().Add(r.left))
	if _, o.err = io.WriteString(c.conn, r.encode()); o.err == nil && len(r.body) > 0 {
		o.err = c.writePaced(r.body)
	}
	if o.err == nil {
		c.readAnswer(&o)
	}
	o.done = time.Now()
	if o.err != nil {
		c.close()
	}
	return o
}

// paceBytes is how much of a body is written at a time, and pace the pause after it: 30 MB a second, a quarter of a
// link of 1,000 Mbit/s.
const (
	paceBytes = 1 << 20
	pace      = 35 * time.Millisecond
)

func (c *consumer) writePaced(b []byte) error {
	for len(b) > 0 {
		n := min(len(b), paceBytes)
		if _, err := c.conn.Write(b[:n]); err != nil {
			return err
		}
		if b = b[n:]; len(b) > 0 {
			time.Sleep(pace)
		}
	}
	return nil
}

func (c *consumer) readAnswer(o *result) {
	p, err := http.ReadResponse(c.reader, &http.Request{Method: o.method})
	if err != nil {
		o.err = err
		return
	}
	_, o.err = io.Copy(io.Discard, p.Body)
	_ = p.Body.Close()
	if o.err != nil {
		return
	}
	o.status, o.seal = p.StatusCode, p.Header.Get(headerSeal)
	if v, err := strconv.ParseFloat(p.Header.Get("Retry-After"), 64); err == nil {
		o.retryAfter = time.Duration(v * float64(time.Second))
	}
	if p.Close {
		c.close()
	}
}

// text describes a result for the record.
func (o *result) text() string {
	s := fmt.Sprintf("%s %s id %s", o.method, o.path, o.id)
	switch {
	case o.err != nil:
		s += ": no answer: " + o.err.Error()
	case o.seal != "":
		s += fmt.Sprintf(": %d from a target", o.status)
	default:
		s += fmt.Sprintf(": %d", o.status)
	}
	return s + fmt.Sprintf(" after %d ms", o.done.Sub(o.sent).Milliseconds())
}

// padding returns header lines of about n bytes.
func padding(n int) string {
	const line = 1000
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "X-Note-%d: %s\r\n", i, strings.Repeat("n", line))
	}
	return b.String()
}
