package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The figures of case 12.
const (
	// newHeaderBytes is the limit to which the operator raises max-header-bytes, and headerBytes the size of the headers
	// that consumers send from then on.
	newHeaderBytes = 65536
	headerBytes    = 40000
	// keptConnections is the number of consumers with a kept connection.
	keptConnections = 39
	// allowedDenials is the number of proper requests that may be denied, beside one in 500.
	allowedDenials = 5
)

// limitsRaised is case 12: the operator raises the limit on the size of headers while consumers keep connections open.
func limitsRaised(w *world, trouble bool) (result, error) {
	if err := w.addTargets("remit-intake", 6, 20*time.Millisecond); err != nil {
		return false, err
	}
	before, after := oneRoute(1000), oneRoute(1000)
	after.Limits.MaxHeaderBytes = newHeaderBytes
	if !trouble {
		before = after
	}
	w.configure(before)
	if err := w.startMachines(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	var kept []*consumer
	for i := range keptConnections {
		c, err := connect(w.machines[i%len(w.machines)].front())
		if err != nil {
			return false, err
		}
		defer c.close()
		kept = append(kept, c)
	}
	w.sendOnEach("small header, kept connections", kept, 0)
	if trouble {
		w.configure(after)
	}
	// All consumers stay within the old limit until well after config-apply-ms.
	time.Sleep(contact)
	w.sendOnEach("small header, kept connections", kept, 0)
	denied := w.sendOnEach("large header, kept connections", kept, headerBytes)
	sent := 3 * len(kept)
	w.record.say("proper requests that were denied for good: %d of %d", denied, sent)
	return denied > allowedDenials+sent/500, nil
}

// sendOnEach sends one request on each connection, with a header field of the given size, and returns how many were
// denied with a 4xx that consumers do not retry.
func (w *world) sendOnEach(what string, l []*consumer, size int) int {
	n := map[int]int{}
	denied := 0
	for i, c := range l {
		more := ""
		if size > 0 {
			more = "Cookie: " + strings.Repeat("c", size) + "\r\n"
		}
		id := newID()
		w.record.add("sent     %s on kept connection %d: header of over %d bytes", id, i, size)
		a, err := c.send(http.MethodPost, "/gowu831/2f", id, more, "amount=12")
		w.record.add("answer   %s: %d %v %s", id, a.status, err, firstLine(a.body))
		n[a.status]++
		if a.status/100 == 4 && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
		}
	}
	w.record.say("%s: %s", what, countsOf(n))
	return denied
}

func firstLine(s string) string {
	l, _, _ := strings.Cut(s, "\n")
	return fmt.Sprintf("%q", l)
}
