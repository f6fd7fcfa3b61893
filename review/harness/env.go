package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthramp/amaranthramp/standin/objects"
)

// gatewayCommand is the command of the role gateway in deploy/system.toml.
const gatewayCommand = "target/amaranthramp-gateway"

// env is the small deployment of one case: the store, the gateways and a temporary folder.
type env struct {
	folder string
	began  time.Time
	// network is the third octet of the addresses of all machines.
	network int
	store   *objects.Store
	address string
	// moreBounds and tenants are what a case adds to the settings and the configuration.
	moreBounds string
	tenants    []tenantSpec
	// proxied gives each machine a way of its own to the store.
	proxied bool

	mu       sync.Mutex
	out      *bufio.Writer
	file     *os.File
	gateways []*gateway
}

// gateway is one process of the project under test.
type gateway struct {
	env      *env
	name     string
	zone     string
	ip       string
	settings string
	first    bool
	proxy    *storeProxy

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	starts  int
}

func newEnv(record string) (*env, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	d, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	e := &env{folder: d, began: time.Now(), store: objects.New(), file: f, out: bufio.NewWriter(f)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.address = l.Addr().String()
	if e.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, e.store) }()
	return e, nil
}

// machineIP returns the address of a machine, a loopback address of its own.
func machineIP(network, machine int) string {
	return fmt.Sprintf("127.90.%d.%d", network, 10+machine)
}

// freeNetwork returns a network in which the ports of a gateway are free.
func freeNetwork() (int, error) {
	const networks = 250
	for i := range networks {
		n := 1 + (os.Getpid()+i)%networks
		if isFree(machineIP(n, 0)) {
			return n, nil
		}
	}
	return 0, errors.New("no network with free ports")
}

func isFree(ip string) bool {
	for _, p := range []int{frontPort, readyPort, operatorPort, internalPort, internalPort + 1} {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(p)))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// record writes a line with the time since the start to the record of the case.
func (e *env) record(format string, a ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(e.out, "%8.3f s  %s\n", time.Since(e.began).Seconds(), fmt.Sprintf(format, a...))
}

// close ends all processes and removes the temporary folder.
func (e *env) close() {
	for _, g := range e.gateways {
		g.kill()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.out.Flush()
	_ = e.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.folder)
	}
}

// zones are the zones of the deployment.
var zones = []string{"kgl-a", "kgl-b", "kgl-c"}

// gatewayCount is the number of gateways that startGateways starts, one in each zone.
const gatewayCount = 3

// bounds are those of the site umusanzu-dues.
const bounds = `"seed-lag-s=3","addr-reuse-s=2","contact-ms=3000","ack-ms=4000","catch-up-s=4","drain-ms=2000",` +
	`"grace-s=6","loss-slack-ms=200","config-apply-ms=2000","rollback-slack-ms=250","max-stretch-ms=5000",` +
	`"retry-ratio=0.2","retry-window-s=10","retry-slack=56","warmup-overshoot=1.5","warmup-slack=5",` +
	`"evacuate-ms=5000","recovery-s=15","probes-per-s=60"`

// memoryMB is the memory of a machine of class front.
const memoryMB = 284

// The ports of all gateways; each has an address of its own.
const (
	frontPort    = 8381
	readyPort    = 8388
	internalPort = 7200
	// operatorPort is that of the metrics in the deploy file.
	operatorPort = 9464
)

// settingsOf returns the settings file of a machine, in the form of the platform's page.
func (e *env) settingsOf(g *gateway) string {
	return fmt.Sprintf(`node-name = %q
role = "gateway"
machine-class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "kigali"
internal-ports = [%d,%d]
bootstrap = %t
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","retry","recover","health","places","platform"]
bounds = [%s%s]
[zones]
kgl-a = "kigali"
kgl-b = "kigali"
kgl-c = "kigali"
[listen]
front = "%s:%d"
ready = "%s:%d"
[limits]
cpu-share = 0.32
cores = 1
memory-mb = %d
max-fds = 4100
link-mbps = 1000.0
[fault-tolerance]
machines = 1
zones = 1
[provider]
address = %q
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
`, g.name, g.ip, g.zone, internalPort, internalPort+15, g.first, bounds, e.moreBounds, g.ip, frontPort, g.ip,
		readyPort, memoryMB, g.storeAddress())
}

// startGateways starts the gateways of a new deployment, one in each zone, and waits until all are ready.
func (e *env) startGateways() error {
	for _, z := range zones {
		if err := e.addGateway(z, 1, true); err != nil {
			return err
		}
	}
	return e.awaitGateways(e.gateways)
}

// addGateway starts a gateway on a machine of its own; first means that the whole system starts for the first time.
func (e *env) addGateway(zone string, number int, first bool) error {
	g := &gateway{
		env: e, name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, first: first,
		ip: machineIP(e.network, len(e.gateways)),
	}
	if e.proxied {
		p, err := newStoreProxy(e.address)
		if err != nil {
			return err
		}
		g.proxy = p
	}
	g.settings = filepath.Join(e.folder, g.name+".toml")
	if err := os.WriteFile(g.settings, []byte(e.settingsOf(g)), 0o600); err != nil {
		return err
	}
	e.gateways = append(e.gateways, g)
	return g.start()
}

// readyTime is how long a gateway may take until it is ready.
const readyTime = 20 * time.Second

func (e *env) awaitGateways(l []*gateway) error {
	for _, g := range l {
		if err := g.awaitReady(); err != nil {
			return err
		}
		e.record("gateway %s at %s is ready, process %d", g.name, g.front(), g.pid())
	}
	return nil
}

// storeAddress returns the address of the store as the machine knows it.
func (g *gateway) storeAddress() string {
	if g.proxy != nil {
		return g.proxy.address()
	}
	return g.env.address
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	log, err := os.OpenFile(filepath.Join(g.env.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command("./" + gatewayCommand)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "AMARANTHRAMP_SETTINGS=" + g.settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.command, g.exited, g.starts = c, make(chan struct{}), g.starts+1
	go func(done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(g.exited)
	return nil
}

// restarted writes the settings of a machine that starts again: the system as a whole does not start any more.
func (g *gateway) restarted() {
	g.first = false
	_ = os.WriteFile(g.settings, []byte(g.env.settingsOf(g)), 0o600)
}

func (g *gateway) pid() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.command.Process.Pid
}

func (g *gateway) front() string {
	return fmt.Sprintf("%s:%d", g.ip, frontPort)
}

func (g *gateway) signal(s os.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.command.Process.Signal(s)
}

// awaitEnd waits until the process has ended.
func (g *gateway) awaitEnd() {
	g.mu.Lock()
	done := g.exited
	g.mu.Unlock()
	<-done
}

// kill ends the process with SIGKILL and waits for its end.
func (g *gateway) kill() {
	g.mu.Lock()
	c, done := g.command, g.exited
	g.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-done
}

func (g *gateway) awaitReady() error {
	c := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		p, err := c.Get(fmt.Sprintf("http://%s:%d/readiness", g.ip, readyPort))
		if err != nil {
			continue
		}
		_ = p.Body.Close()
		if p.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("gateway " + g.name + " is not ready in time")
}

// residentMB returns the memory of the process in megabytes.
func (g *gateway) residentMB() int {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(g.pid()) + "/status")
	if err != nil {
		return 0
	}
	for l := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(l, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(v)[0])
			return n / 1024
		}
	}
	return 0
}
