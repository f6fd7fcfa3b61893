package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	consumers = 60
	// leaveEvery means that three in ten of the consumers leave.
	leaveEvery     = 10
	leavingOfThese = 3
	pipelineDepth  = 4
	leaveAfter     = 200 * time.Millisecond
	leaveTolerance = 500 * time.Millisecond
	// pipelineGap is the time between two requests on a connection.
	pipelineGap = 20 * time.Millisecond
	longWork    = 1500 * time.Millisecond
)

// leaver is a consumer that has sent requests behind one another.
type leaver struct {
	ids  []string
	left time.Time
}

// runPipelinedLeave checks GONE: consumers that have sent further safe requests before the first one is answered close
// their connections.
func runPipelinedLeave(e *env, trouble bool) (verdict, error) {
	r := &runs{m: map[string][]*run{}}
	if err := e.configure(1, defaultLimits(), routeSpec{
		Name: "report", PathPrefix: "/report/", Kind: "safe", TimeoutMs: 6000, AimMs: 3000, Priority: 2,
		Service: "statement-desk", MaxAttempts: 2,
	}); err != nil {
		return verdict{}, err
	}
	for i := range 12 {
		if _, err := e.newTarget(fmt.Sprintf("i-%04d", i), "statement-desk", zones[i%3], 6, longWork, r); err != nil {
			return verdict{}, err
		}
	}
	if err := e.startGateways(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var l []leaver
	var w sync.WaitGroup
	for i := range consumers {
		w.Go(func() {
			leave := trouble && i%leaveEvery < leavingOfThese
			n, err := sendPipelined(e.gateways[i%gatewayCount].front(), leave)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				e.record("consumer %d: %v", i, err)
				return
			}
			if leave {
				l = append(l, n)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	w.Wait()
	time.Sleep(4 * time.Second)
	return e.judgeLeavers(r, l, trouble), nil
}

// sendPipelined sends requests behind one another and closes the connection, or reads all answers without the
// disruption.
func sendPipelined(address string, leave bool) (leaver, error) {
	c := &consumer{address: address}
	if err := c.connect(); err != nil {
		return leaver{}, err
	}
	defer c.close()
	var l leaver
	for range pipelineDepth {
		n := newRequest(http.MethodGet, "/report/branch", 10*time.Second)
		l.ids = append(l.ids, n.id)
		time.Sleep(pipelineGap)
		if _, err := io.WriteString(c.conn, n.encode()); err != nil {
			return l, err
		}
	}
	if leave {
		time.Sleep(leaveAfter)
		// A consumer that has read nothing yet closes with a FIN, as there are no unread bytes.
		if t, ok := c.conn.(*net.TCPConn); ok {
			_ = t.SetLinger(-1)
		}
		c.close()
		l.left = time.Now()
		return l, nil
	}
	for _, id := range l.ids {
		o := result{request: request{id: id, method: http.MethodGet}}
		if c.readAnswer(&o); o.err != nil {
			return l, o.err
		}
	}
	l.left = time.Now()
	return l, nil
}

// judgeLeavers counts what reached a target, or was at work there, after the consumers had left.
func (e *env) judgeLeavers(r *runs, l []leaver, trouble bool) verdict {
	r.record(e)
	late, atWork, wouldLast := 0, 0, 0
	for _, n := range l {
		for _, id := range n.ids {
			for _, x := range r.of(id) {
				end := n.left.Add(leaveTolerance)
				if x.began.After(end) {
					late++
				} else if x.began.Add(longWork).After(end) && trouble {
					wouldLast++
					if x.ended.IsZero() || x.ended.After(end) {
						atWork++
					}
				}
				e.record("request %s began at %s %d ms after its consumer had left, dropped: %t, worked until %d ms after",
					id, x.target, x.began.Sub(n.left).Milliseconds(), x.dropped, x.ended.Sub(n.left).Milliseconds())
			}
		}
	}
	return verdict{
		broken: late > 5 || wouldLast > 0 && 4*atWork > wouldLast,
		text: fmt.Sprintf("GONE: of %d consumers that left, %d requests reached a target over 0.5 s later; targets were "+
			"still at work on %d of %d requests that would have lasted so long", len(l), late, atWork, wouldLast),
	}
}
