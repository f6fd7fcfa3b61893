package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// storeProxy passes the connections of one machine on to the store. While it is cut, nothing passes in either
// direction, and nothing is reset.
type storeProxy struct {
	listener net.Listener
	store    string

	mu     sync.Mutex
	cut    bool
	healed *sync.Cond
	// answers holds when bytes from the store were passed on.
	answers []time.Time
}

func newStoreProxy(store string) (*storeProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storeProxy{listener: l, store: store}
	p.healed = sync.NewCond(&p.mu)
	go p.serve()
	return p, nil
}

func (p *storeProxy) address() string {
	return p.listener.Addr().String()
}

// setCut cuts the machine off from the store, or heals the cut.
func (p *storeProxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.healed.Broadcast()
}

func (p *storeProxy) awaitPath() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.healed.Wait()
	}
}

// recentTime is the time in which recentAnswers counts.
const recentTime = 3 * time.Second

// recentAnswers returns how often the store has answered the machine lately.
func (p *storeProxy) recentAnswers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, t := range p.answers {
		if time.Since(t) < recentTime {
			n++
		}
	}
	return n
}

func (p *storeProxy) countAnswer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers = append(p.answers, time.Now())
}

func (p *storeProxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *storeProxy) pass(c net.Conn) {
	defer func() { _ = c.Close() }()
	p.awaitPath()
	s, err := net.Dial("tcp", p.store)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	go func() {
		p.copyWhileOpen(s, c, func() {})
		_ = s.Close()
	}()
	p.copyWhileOpen(c, s, p.countAnswer)
}

// copyWhileOpen copies bytes while there is a path. Bytes that arrive during a cut wait for its end.
func (p *storeProxy) copyWhileOpen(to io.Writer, from io.Reader, passed func()) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		p.awaitPath()
		if n > 0 {
			passed()
			if _, e := to.Write(b[:n]); e != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
