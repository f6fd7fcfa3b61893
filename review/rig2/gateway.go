package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// program is what the deploy file runs.
const program = "target/amaranthramp-gateway"

// bounds are those of the users' small deployments.
var bounds = []string{
	"seed-lag-s=3", "addr-reuse-s=2", "contact-ms=3000", "ack-ms=4000", "catch-up-s=4", "drain-ms=2000", "grace-s=6",
	"loss-slack-ms=200", "config-apply-ms=2000", "rollback-slack-ms=250", "max-stretch-ms=5000", "retry-ratio=0.2",
	"retry-window-s=10", "retry-slack=56", "warmup-overshoot=1.5", "warmup-slack=5", "evacuate-ms=5000", "recovery-s=15",
	"probes-per-s=60",
}

// gateway is one machine of the system.
type gateway struct {
	name, ip, zone  string
	front, ready    string
	settings, store string
	log             *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	stopped bool
	misses  int
	// ends counts the processes that have ended although the rig has not stopped them.
	ends int
}

// newGateway writes the settings of a machine into a folder and starts its process.
func newGateway(folder, name, ip, zone, store string) (*gateway, error) {
	g := &gateway{name: name, ip: ip, zone: zone, store: store}
	g.front, g.ready = ip+":8381", ip+":8388"
	g.settings = filepath.Join(folder, name+".toml")
	if err := g.writeSettings(true); err != nil {
		return nil, err
	}
	var err error
	if g.log, err = os.Create(filepath.Join(folder, name+".log")); err != nil {
		return nil, err
	}
	return g, g.start()
}

// settingsFormat is the platform's settings file of a small deployment.
const settingsFormat = `node-name = %q
role = "gateway"
machine-class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "kigali"
internal-ports = [7200,7215]
seeds = []
bootstrap = %t
discovery = "platform"
heartbeat-ms = 1500
bounds = ["%s"]
[listen]
front = %q
ready = %q
[limits]
cpu-share = 0.32
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[provider]
address = %q
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
`

// writeSettings writes the settings file; first means that the whole system starts for the first time.
func (g *gateway) writeSettings(first bool) error {
	b := strings.Join(bounds, `","`)
	text := fmt.Sprintf(settingsFormat, g.name, g.ip, g.zone, first, b, g.front, g.ready, g.store)
	return os.WriteFile(g.settings, []byte(text), 0o600)
}

// start starts a process.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return nil
	}
	c := exec.Command(program)
	// A machine has one core, and its processor list shows one.
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "AMARANTHRAMP_SETTINGS=" + g.settings, "GOMAXPROCS=1"}
	c.Stdout, c.Stderr = g.log, g.log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.process, g.ended = c, ended
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// current returns the present process and a channel that is closed at its end.
func (g *gateway) current() (*exec.Cmd, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process, g.ended
}

// recordEnd counts the end of a process, and reports whether the rig stops.
func (g *gateway) recordEnd() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.stopped {
		g.ends++
	}
	return g.stopped
}

// kill ends the process for good.
func (g *gateway) kill() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	c, ended := g.current()
	_ = c.Process.Kill()
	<-ended
	_ = g.log.Close()
}

// poll asks for the readiness once, as the platform does each second, and counts misses in a row.
func (g *gateway) poll() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	t := &http.Transport{DisableKeepAlives: true}
	ok := false
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/readiness", nil)
	if err == nil {
		var p *http.Response
		if p, err = t.RoundTrip(r); err == nil {
			ok = p.StatusCode == http.StatusOK
			_ = p.Body.Close()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if ok {
		g.misses = 0
		return
	}
	g.misses++
}

var errNotReady = errors.New("gateways are not ready in time")

// awaitReady waits until all gateways are ready.
func awaitReady(l []*gateway, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, g := range l {
			g.poll()
			g.mu.Lock()
			if g.misses == 0 {
				ready++
			}
			g.mu.Unlock()
		}
		if ready == len(l) {
			return nil
		}
	}
	return errNotReady
}

// loopback returns the nth address of this run, which is drawn so that runs at the same time don't meet.
func loopback(base, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+base%200, 1+base/200%200, 10+n)
}

// freePort returns a port that is free at an address.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	a := l.Addr().String()
	return a, l.Close()
}
