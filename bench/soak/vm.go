package soak

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/amaranthramp/amaranthramp/bench/relay"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/platform"
	"github.com/amaranthramp/amaranthramp/process/gateway"
)

// The ports of each VM; each VM has an IP address of its own.
const (
	callerPort = 7100
	readyPort  = 7101
	peerPort   = 7102
	// The port after peerPort accepts requests of other VMs.
	storePort = 7104
)

// vm is one gateway process, which reaches the store through a relay.
type vm struct {
	settings *gateway.Settings
	binary   string
	dir      string
	// storeRelay is the relay to the store, through which faults of the connection are injected.
	storeRelay *relay.Relay

	// lifecycle is held while a fault kills, stops or suspends the process. Otherwise two faults could each start a new
	// process, of which one would never be ended.
	lifecycle sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// stopStart is when the graceful stop in progress began, or zero.
	stopStart time.Time
	// faultEnd is when the process was last killed or resumed, and disturbed is true while a kill or a suspension lasts.
	faultEnd  time.Time
	disturbed bool
	// signals are the signals sent to all processes, of which the current one got those from firstSignal on.
	signals     []sentSignal
	firstSignal int
	// closing is true once the run ends the process.
	closing bool
	// report records a violation.
	report func(string)
	// logStart is where the log of this run begins.
	logStart int64
}

// sentSignal is a signal that was sent to a process.
type sentSignal struct {
	signal syscall.Signal
	at     time.Time
}

func newVM(o *Options, i int, store ident.Address, report func(string)) (*vm, error) {
	ip := fmt.Sprintf("127.7.%d.%d", o.Network, i+1)
	at := func(port int) ident.Address { return ident.Address(ip + ":" + strconv.Itoa(port)) }
	r, err := relay.New(at(storePort), store, o.Seed)
	if err != nil {
		return nil, err
	}
	v := &vm{
		binary: filepath.Join(o.Binaries, "amaranthramp-gateway"), dir: filepath.Join(o.Work, fmt.Sprintf("vm-%d", i)),
		storeRelay: r, report: report,
		settings: &gateway.Settings{
			Name: ident.VM(fmt.Sprintf("vm-%d", i)), DataCentre: dataCentre(i), CallerAddress: at(callerPort),
			ReadyAddress: at(readyPort), PeerAddress: at(peerPort), StoreAddress: at(storePort), Grace: stopGrace,
			Retry:        gateway.RetryBound{Share: 0.2, Slack: 56, Window: 10 * time.Second},
			WarmupFactor: 1.5, WarmupSlack: 5, ProbeRate: 60, Cores: max(o.Cores, 1), LinkMbps: 1000,
		},
	}
	if o.Rollouts {
		v.settings.Rollout = rolloutBound
	}
	if err := os.MkdirAll(v.dir, 0o755); err != nil {
		return nil, fmt.Errorf("create the directory of a VM: %w", err)
	}
	b, err := platform.EncodeSettings(v.settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(v.dir, "settings.toml"), b, 0o644); err != nil {
		return nil, fmt.Errorf("write the settings of a VM: %w", err)
	}
	if i, err := os.Stat(filepath.Join(v.dir, "log")); err == nil {
		v.logStart = i.Size()
	}
	return v, v.start()
}

// dataCentre assigns the i-th VM or target to one of two data centres.
func dataCentre(i int) ident.DataCentre {
	return ident.DataCentre("zone-" + string(rune('a'+i%2)))
}

// start starts the process; its log is appended to a file.
func (v *vm) start() error {
	log, err := os.OpenFile(filepath.Join(v.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open the log of a VM: %w", err)
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(v.binary, "-settings", filepath.Join(v.dir, "settings.toml"))
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start a VM: %w", err)
	}
	exited := make(chan struct{})
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process, v.exited, v.stopStart, v.firstSignal = c, exited, time.Time{}, len(v.signals)
	go func() {
		err := c.Wait()
		own := v.checkExit(err)
		close(exited)
		if own {
			v.restart(c)
		}
	}()
	return nil
}

// checkExit checks that a process did not end by itself, nor with an error after SIGTERM. That signal may end a process
// that has just started. The result is whether it ended by itself.
func (v *vm) checkExit(err error) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	stopped := false
	for _, s := range v.signals[v.firstSignal:] {
		if s.signal == syscall.SIGKILL {
			return false
		}
		stopped = stopped || s.signal == syscall.SIGTERM
	}
	if !stopped || err != nil && err.Error() != "signal: terminated" {
		v.report(fmt.Sprintf("exit: %s ended by itself: %v; %s", v.settings.Name, err, v.listSignals(time.Now())))
	}
	return !stopped && !v.closing
}

// restart starts a process in place of one that has ended by itself, unless a fault has done so.
func (v *vm) restart(ended *exec.Cmd) {
	v.lifecycle.Lock()
	defer v.lifecycle.Unlock()
	v.mu.Lock()
	needed := v.process == ended && !v.closing
	v.mu.Unlock()
	if !needed {
		return
	}
	if err := v.start(); err != nil {
		v.report(fmt.Sprintf("restart of %s: %v", v.settings.Name, err))
	}
}

// listedSignals is how many of the last signals a violation lists.
const listedSignals = 4

// signalsBefore tells how long before a time the signals were sent to the process.
func (v *vm) signalsBefore(at time.Time) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listSignals(at)
}

// listSignals does the same as signalsBefore; v.mu is held.
func (v *vm) listSignals(at time.Time) string {
	var l []string
	for _, s := range v.signals {
		if !s.at.After(at) {
			l = append(l, fmt.Sprintf("%s %.3f s before", unix.SignalName(s.signal), at.Sub(s.at).Seconds()))
		}
	}
	if len(l) == 0 {
		return "no signal"
	}
	return strings.Join(l[max(len(l)-listedSignals, 0):], ", ")
}

// stopping returns when the graceful stop in progress began, or zero.
func (v *vm) stopping() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stopStart
}

// disturbedSince reports whether the process was killed or suspended at or after a time.
func (v *vm) disturbedSince(t time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.disturbed || v.faultEnd.After(t)
}

// signal sends a signal to the process, unless it has exited.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.exited:
	default:
		v.signals = append(v.signals, sentSignal{signal: s, at: time.Now()})
		// The process may have exited in the meantime; then the signal fails.
		_ = v.process.Process.Signal(s)
	}
}

// killAndRestart kills the process and starts a new one after a pause.
func (v *vm) killAndRestart(pause time.Duration) error {
	v.lifecycle.Lock()
	defer v.lifecycle.Unlock()
	v.recordFaultStart()
	v.signal(syscall.SIGKILL)
	<-v.exit()
	v.recordFaultEnd()
	time.Sleep(pause)
	return v.start()
}

// stopAndRestart stops the process gracefully, calls during, if it is not nil, and starts a new process after the exit.
// It fails when the stop takes more than a second longer than stopGrace.
func (v *vm) stopAndRestart(during func()) error {
	v.lifecycle.Lock()
	defer v.lifecycle.Unlock()
	v.mu.Lock()
	began := time.Now()
	v.stopStart = began
	v.mu.Unlock()
	v.signal(syscall.SIGTERM)
	if during != nil {
		during()
	}
	select {
	case <-v.exit():
	case <-time.After(time.Until(began.Add(stopGrace + time.Second))):
		v.signal(syscall.SIGKILL)
		<-v.exit()
		return fmt.Errorf("%s did not exit within %s of SIGTERM", v.settings.Name, stopGrace+time.Second)
	}
	return v.start()
}

// freeze suspends the process for a time by SIGSTOP.
func (v *vm) freeze(d time.Duration) {
	v.lifecycle.Lock()
	defer v.lifecycle.Unlock()
	v.recordFaultStart()
	v.signal(syscall.SIGSTOP)
	time.Sleep(d)
	v.signal(syscall.SIGCONT)
	v.recordFaultEnd()
}

// recordFaultStart notes that a kill or a suspension of the process begins now.
func (v *vm) recordFaultStart() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disturbed = true
}

// recordFaultEnd notes that a kill or a suspension of the process ended now.
func (v *vm) recordFaultEnd() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faultEnd, v.disturbed = time.Now(), false
}

// exit returns a channel that is closed when the process has exited.
func (v *vm) exit() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.exited
}

// ready reports whether the readiness endpoint of the VM says that it accepts connections.
func (v *vm) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + string(v.settings.ReadyAddress) + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// close kills the process, which may be suspended, and closes the relay.
func (v *vm) close() {
	v.mu.Lock()
	v.closing = true
	v.mu.Unlock()
	v.lifecycle.Lock()
	defer v.lifecycle.Unlock()
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	<-v.exit()
	v.storeRelay.Close()
}

// limitFiles lets the process open no more than a few further files and connections for a time.
func (v *vm) limitFiles(further int, d time.Duration) error {
	v.lifecycle.Lock()
	defer v.lifecycle.Unlock()
	v.mu.Lock()
	pid := v.process.Process.Pid
	v.mu.Unlock()
	l, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	var old unix.Rlimit
	err = errors.Join(err, unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &old))
	low := old
	low.Cur = uint64(len(l) + further)
	if err == nil {
		err = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &low, nil)
	}
	select {
	case <-v.exit():
		// The process has ended by itself, which is a violation of its own.
		return nil
	case <-time.After(d):
	}
	return errors.Join(err, unix.Prlimit(pid, unix.RLIMIT_NOFILE, &old, nil))
}

// checkLog checks that the log of a VM has no panic and no data race.
func (s *soak) checkLog(v *vm) {
	b, err := os.ReadFile(filepath.Join(v.dir, "log"))
	if err != nil {
		s.addViolation(fmt.Sprintf("log of %s: %v", v.settings.Name, err))
		return
	}
	for l := range strings.Lines(string(b[v.logStart:])) {
		if strings.Contains(l, "panic") || strings.Contains(l, "DATA RACE") {
			s.addViolation(fmt.Sprintf("log of %s: %s", v.settings.Name, strings.TrimSpace(l)))
		}
	}
}
