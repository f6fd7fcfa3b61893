package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// targetsOfRequests are the paths that consumers ask for, with a character that browsers send as it is.
var targetsOfRequests = []string{
	"/remit/member|7", "/remit/12%2F34|7", "/remit/2026^12", "/remit/{id}", "/remit%2F12|7",
}

// paths sends requests with characters in their paths that some clients encode and others don't.
func paths(r *rig) (verdict, error) {
	if err := r.setUp(newConfiguration(7, 0)); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	changed, sent := 0, 0
	encode := strings.NewReplacer("|", "%7C", "^", "%5E", "{", "%7B", "}", "%7D")
	for n, g := range r.gateways {
		for i, p := range targetsOfRequests {
			if !r.trouble {
				p = encode.Replace(p)
			}
			id := fmt.Sprintf("path-%d-%d", n, i)
			status, err := post(g, id, p)
			sent++
			r.note("%s at %s: POST %s; answer %d, error %v", id, g.name, p, status, err)
			for _, x := range r.runs.of(id) {
				r.note("%s: %s runs %s %s", id, x.target, x.method, x.uri)
				if x.uri != p {
					changed++
				}
			}
		}
	}
	return verdict{broken: changed > 0, text: fmt.Sprintf(
		"UNASKED: %d of %d requests were run with another path than their consumers had sent", changed, sent)}, nil
}

// post sends a posting with the given request target and returns the status of its answer.
func post(g *gateway, id, target string) (int, error) {
	c, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: remit.example\r\nAmaranthramp-Attempt-Id: %s\r\n"+
		"Amaranthramp-Timeout-Remaining: 1200\r\nContent-Length: 2\r\n\r\nok", target, id)
	if err != nil {
		return 0, err
	}
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return p.StatusCode, p.Body.Close()
}
