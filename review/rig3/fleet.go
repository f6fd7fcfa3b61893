package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is the gateway as the build line of deploy/system.toml makes it, from the project's root.
const program = "target/amaranthramp-gateway"

// zones are those of a small deployment.
var zones = []string{"kgl-a", "kgl-b", "kgl-c"}

// ports of a machine, the same on all of them.
const (
	portFront    = 8381
	portReady    = 8388
	portInternal = 7200
	// portMetrics is the port that deploy/system.toml names for metrics.
	portMetrics = 9464
)

// network gives out loopback addresses that no other run uses.
type network struct {
	a, b byte
	next int
}

func newNetwork() *network {
	return &network{a: byte(64 + rand.IntN(128)), b: byte(rand.IntN(250)), next: 1}
}

// ip returns a new address on which the ports of a machine are free.
func (n *network) ip() (string, error) {
	for n.next < 60000 {
		n.next++
		ip := fmt.Sprintf("127.%d.%d.%d", n.a, int(n.b)+n.next/250, 1+n.next%250)
		if free(ip, portFront, portReady, portInternal, portInternal+1, portMetrics) {
			return ip, nil
		}
	}
	return "", errors.New("no free loopback address")
}

// free reports whether nothing listens on the ports of an address.
func free(ip string, ports ...int) bool {
	for _, p := range ports {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// machine is a front machine with its gateway process.
type machine struct {
	name, ip, zone string
	dir            string
	store          string
	command        *exec.Cmd
	log            *os.File
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, portFront) }

// start starts the gateway. bootstrap is true only when the whole system starts for the first time.
func (m *machine) start(bootstrap bool) error {
	file := filepath.Join(m.dir, m.name+".toml")
	if err := os.WriteFile(file, []byte(m.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	l, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.log = l
	m.command = exec.Command(program)
	m.command.Env = []string{"AMARANTHRAMP_SETTINGS=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + m.dir}
	m.command.Stdout, m.command.Stderr = l, l
	return m.command.Start()
}

// kill ends the gateway at once and waits for its end.
func (m *machine) kill() {
	if m.command == nil {
		return
	}
	_ = m.command.Process.Signal(syscall.SIGKILL)
	_ = m.command.Wait()
	_ = m.log.Close()
	m.command = nil
}

// ready reports whether the gateway says that it is ready.
func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/readiness", m.ip, portReady))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// settings returns the settings file, with the values of the small site umusanzu-dues.
func (m *machine) settings(bootstrap bool) string {
	var z strings.Builder
	for _, n := range zones {
		fmt.Fprintf(&z, "%s = \"kigali\"\n", n)
	}
	return fmt.Sprintf(`node-name = %q
role = "gateway"
machine-class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "kigali"
internal-ports = [%d,%d]
seeds = []
bootstrap = %t
loss-counts = false
discovery = "platform"
entry = "static"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","retry","recover","health","places","tenants","quota","platform"]
bounds = [%s]
[zones]
%s[listen]
front = %q
ready = "%s:%d"
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
ttl-min-ms = 1000
`, m.name, m.ip, m.zone, portInternal, portInternal+15, bootstrap, bounds, z.String(), m.front(), m.ip, portReady,
		m.store)
}

// bounds are those of the small sites, and those for tenants of the site fjordramp-osl-grown.
const bounds = `"seed-lag-s=3","addr-reuse-s=2","contact-ms=3000","ack-ms=4000","catch-up-s=4","drain-ms=2000",` +
	`"grace-s=6","loss-slack-ms=200","config-apply-ms=2000","rollback-slack-ms=250","max-stretch-ms=5000",` +
	`"retry-ratio=0.2","retry-window-s=10","retry-slack=56","warmup-overshoot=1.5","warmup-slack=5",` +
	`"evacuate-ms=5000","recovery-s=15","probes-per-s=60","strict-revoke=false","revoke-ms=5000",` +
	`"quota-window-s=5","quota-overshoot=0.1","quota-slack=20"`
