package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// result is how an attempt of a consumer ended.
type result struct {
	id, machine string
	sent, ended time.Time
	limit       time.Duration
	// kept means that the connection had carried a request before.
	kept bool
	// status is zero if the connection ended without an answer.
	status int
	// sealed means that the answer is the target's.
	sealed bool
	err    error
}

// traffic is the usual traffic of the deployment.
type traffic struct {
	rig  *rig
	stop chan struct{}
	wait sync.WaitGroup

	mu      sync.Mutex
	results []result
}

// startTraffic starts a consumer of each class at each machine, so that all together send at the rates of the sheet.
// A consumer keeps its connection as long as it can.
func (r *rig) startTraffic() *traffic {
	t := &traffic{rig: r, stop: make(chan struct{})}
	for i := range classes {
		for n, g := range r.gateways {
			gap := time.Duration(float64(len(r.gateways)) / classes[i].perSecond * float64(time.Second))
			first := gap * time.Duration(n) / time.Duration(len(r.gateways))
			t.wait.Go(func() { t.consume(&classes[i], g, n, first, gap) })
		}
	}
	return t
}

// end stops the consumers and waits for their last answers.
func (t *traffic) end() {
	close(t.stop)
	t.wait.Wait()
}

// consume sends the requests of one consumer, one after the other.
func (t *traffic) consume(k *class, g *gateway, n int, first, gap time.Duration) {
	var c net.Conn
	var b *bufio.Reader
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	next := time.After(first)
	for i := 0; ; i++ {
		select {
		case <-t.stop:
			return
		case <-next:
		}
		next = time.After(gap)
		x := result{
			id: fmt.Sprintf("%s-%d-%d", k.name, n, i), machine: g.name, limit: time.Duration(k.limitMs) * time.Millisecond,
			sent: time.Now(), kept: c != nil,
		}
		if c == nil {
			if c, x.err = net.DialTimeout("tcp", g.front, time.Second); x.err == nil {
				b = bufio.NewReader(c)
			}
		}
		if x.err == nil {
			k.exchange(c, b, &x)
		}
		x.ended = time.Now()
		if x.err != nil && c != nil {
			_ = c.Close()
			c = nil
		}
		t.add(&x)
	}
}

var errClosing = errors.New("the answer closes the connection")

// exchange sends one request and reads its answer.
func (k *class) exchange(c net.Conn, b *bufio.Reader, x *result) {
	var q strings.Builder
	fmt.Fprintf(&q, "%s %s%s HTTP/1.1\r\nHost: %s\r\n", k.method, k.prefix, x.id, k.host)
	fmt.Fprintf(&q, "Amaranthramp-Attempt-Id: %s\r\nAmaranthramp-Timeout-Remaining: %d\r\nWork: %d\r\n", x.id, k.limitMs,
		k.workMs)
	if k.method == http.MethodPost {
		fmt.Fprintf(&q, "Content-Length: %d\r\n\r\n%s", len(x.id), x.id)
	} else {
		q.WriteString("\r\n")
	}
	_ = c.SetDeadline(x.sent.Add(x.limit))
	if _, x.err = io.WriteString(c, q.String()); x.err != nil {
		return
	}
	p, err := http.ReadResponse(b, nil)
	if err != nil {
		x.err = err
		return
	}
	if _, x.err = io.Copy(io.Discard, p.Body); x.err != nil {
		return
	}
	x.status, x.sealed = p.StatusCode, p.Header.Get("Amaranthramp-Server-Seal") != ""
	if p.Close {
		x.err = errClosing
	}
}

func (t *traffic) add(x *result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, *x)
}

// lost returns the requests that a machine has passed on from a kept connection to a target, and whose connection it
// has closed without an answer before the consumer's time limit.
func (t *traffic) lost() []result {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []result
	for _, x := range t.results {
		if x.kept && x.status == 0 && !errors.Is(x.err, os.ErrDeadlineExceeded) && len(t.rig.runs.of(x.id)) > 0 {
			l = append(l, x)
		}
	}
	return l
}

// summary notes how all requests ended.
func (t *traffic) summary() {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, own := map[int]int{}, 0
	for _, x := range t.results {
		n[x.status]++
		if x.status != 0 && !x.sealed {
			own++
		}
		end := "no answer"
		if x.status != 0 {
			end = fmt.Sprintf("%d, sealed %t", x.status, x.sealed)
		}
		t.rig.note("sent at %.3f s: %s at %s, kept connection %t; after %.0f ms %s; %d runs",
			x.sent.Sub(t.rig.began).Seconds(), x.id, x.machine, x.kept,
			float64(x.ended.Sub(x.sent).Microseconds())/1000, end, len(t.rig.runs.of(x.id)))
	}
	t.rig.note("%d requests; by status (0: no answer) %v; %d answers by gateways themselves", len(t.results), n, own)
}
