package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// timeLimit is how long a consumer waits for its answer.
const timeLimit = 1200 * time.Millisecond

// answer is what a consumer has got for a request.
type answer struct {
	status int
	body   string
	header http.Header
}

// consumer is one connection of a consumer.
type consumer struct {
	conn   net.Conn
	reader *bufio.Reader
}

func connect(address string) (*consumer, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &consumer{conn: c, reader: bufio.NewReader(c)}, nil
}

func (c *consumer) close() { _ = c.conn.Close() }

// send sends a request and reads its answer. more holds complete header lines.
func (c *consumer) send(method, path, id, more, body string) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(timeLimit))
	q := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s", method, path, testHost, headerID, id,
		headerTime, timeLimit.Milliseconds(), more)
	if method != http.MethodGet {
		q += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, q+"\r\n"+body); err != nil {
		return answer{}, err
	}
	return c.read(method)
}

func (c *consumer) read(method string) (answer, error) {
	p, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	return answer{status: p.StatusCode, body: string(b), header: p.Header}, err
}

// newID returns the id of a consumer attempt.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// countsOf returns the number of answers by status; 0 stands for none.
func countsOf(n map[int]int) string {
	var l []string
	for _, s := range slices.Sorted(maps.Keys(n)) {
		l = append(l, fmt.Sprintf("%d x status %d", n[s], s))
	}
	return strings.Join(l, ", ")
}
