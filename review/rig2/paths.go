package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// notesPrefix is a safe route below the unsafe one of the postings.
	notesPrefix = "/remit/notes/"
	// settleTime is longer than retry-window-s: a process that has just started makes no use of its slack.
	settleTime = 12 * time.Second
	// losingTime is how long targets lose answers, and postEvery the time between two postings.
	losingTime = 4 * time.Second
	postEvery  = 20 * time.Millisecond
)

// pathOf returns the path of a posting for the member "notes/N|a", whose slash is sent as %2F. Only the prefix of the
// unsafe route begins it.
func pathOf(n int) string {
	return fmt.Sprintf("/remit/notes%%2F%d|a", n)
}

// paths sends postings whose paths hold a character that some clients encode and others don't, while targets lose
// answers.
func paths(r *rig) (verdict, error) {
	c := newConfiguration(7, 0)
	for i := range classes {
		if classes[i].name == "remit-post" {
			o := classes[i].path("r-remit-notes", notesPrefix)
			o.Kind = "safe"
			c.Hosts[i].Paths = append(c.Hosts[i].Paths, o)
		}
	}
	if err := r.setUp(c); err != nil {
		return verdict{}, err
	}
	time.Sleep(settleTime)
	if r.trouble {
		r.loseAnswers()
	}
	var w sync.WaitGroup
	sent := int(losingTime / postEvery)
	for n := range sent {
		g := r.gateways[n%len(r.gateways)]
		w.Go(func() {
			status, err := post(g, idOf(n), pathOf(n))
			r.note("%s at %s: POST %s; answer %d, error %v", idOf(n), g.name, pathOf(n), status, err)
		})
		time.Sleep(postEvery)
	}
	w.Wait()
	return r.judgePaths(sent), nil
}

func idOf(n int) string {
	return fmt.Sprintf("post-%d", n)
}

// loseAnswers has half of the targets of the postings lose answers for losingTime.
func (r *rig) loseAnswers() {
	n := 0
	for _, t := range r.targets {
		if t.service != remitIntake {
			continue
		}
		if n++; n%2 == 0 {
			t.loses.Store(true)
			r.note("%s loses %.1f of its answers for %s", t.id, lostShare, losingTime)
			time.AfterFunc(losingTime, func() { t.loses.Store(false) })
		}
	}
}

// judgePaths counts the postings that have run more than once, and those that ran with another path.
func (r *rig) judgePaths(sent int) verdict {
	twice, changed := 0, 0
	for n := range sent {
		l := r.runs.of(idOf(n))
		for _, x := range l {
			r.note("%s: %s runs %s %s", idOf(n), x.target, x.method, x.uri)
		}
		if len(l) > 1 {
			twice++
		}
		if len(l) > 0 && l[0].uri != pathOf(n) {
			changed++
		}
	}
	return verdict{broken: twice > 0, text: fmt.Sprintf(
		"TWICE: %d of %d postings on an unsafe route ran more than once; %d ran with another path than was sent",
		twice, sent, changed)}
}

// errNoConnection means that a machine took no connection.
var errNoConnection = errors.New("no connection")

// post sends a posting with the given path and returns the status of its answer.
func post(g *gateway, id, path string) (int, error) {
	c, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return 0, errNoConnection
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(1200 * time.Millisecond))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: remit.example\r\nAmaranthramp-Attempt-Id: %s\r\n"+
		"Amaranthramp-Timeout-Remaining: 1200\r\nWork: 20\r\nContent-Length: 2\r\n\r\nok", path, id)
	if err != nil {
		return 0, err
	}
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return p.StatusCode, p.Body.Close()
}
