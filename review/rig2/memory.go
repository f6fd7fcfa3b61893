package main

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryLimit is memory-mb of the settings, in KiB.
	memoryLimit = 284 << 10
	// watchEvery is how often the platform looks at the memory of a process, and restartAfter how long after its end it
	// starts a new one.
	watchEvery   = 10 * time.Millisecond
	restartAfter = 500 * time.Millisecond
)

// anonymous returns the anonymous memory of a process in KiB, without what is mapped from files.
func anonymous(pid int) int {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for l := range strings.Lines(string(b)) {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "RssAnon:" {
			n, _ := strconv.Atoi(f[1])
			return n
		}
	}
	return 0
}

// superviseAll does what the platform does with each process until the rig stops: it ends one that exceeds its memory,
// and starts a new one after the end of any.
func (r *rig) superviseAll() {
	for _, g := range r.gateways {
		go r.supervise(g)
	}
}

func (r *rig) supervise(g *gateway) {
	for {
		c, ended := g.current()
		why := "has ended by itself"
		if n := awaitEnd(c.Process.Pid, ended); n > 0 {
			why = "is ended by the platform: it has " + strconv.Itoa(n>>10) + " MB"
			_ = c.Process.Kill()
			<-ended
		}
		if g.recordEnd() {
			return
		}
		r.note("%s: the process %s", g.name, why)
		time.Sleep(restartAfter)
		if err := errors.Join(g.writeSettings(false), g.start()); err != nil {
			r.note("%s: not started again: %v", g.name, err)
			return
		}
	}
}

// awaitEnd waits until a process ends or exceeds its memory, and returns its memory then in KiB; zero if it has ended.
func awaitEnd(pid int, ended <-chan struct{}) int {
	for {
		select {
		case <-ended:
			return 0
		case <-time.After(watchEvery):
		}
		if n := anonymous(pid); n > memoryLimit {
			return n
		}
	}
}
