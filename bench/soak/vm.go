package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthramp/amaranthramp/bench/relay"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/platform"
	"github.com/amaranthramp/amaranthramp/process/gateway"
)

// The ports of each VM, all on an IP number of its own.
const (
	callerPort = 7100
	readyPort  = 7101
	peerPort   = 7102
	storePort  = 7103
)

// vm is one gateway process, with a relay between it and the store.
type vm struct {
	settings *gateway.Settings
	binary   string
	folder   string
	// store is the relay to the store, which can be cut.
	store *relay.Relay

	// fault is held by the fault that ends or stops the process, so that each process that was started is also ended.
	fault sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// stopping is when the planned stop under way began, and harmed when the last unplanned fault here ended.
	stopping, harmed time.Time
}

func newVM(o *Options, i int, store ident.Address) (*vm, error) {
	ip := fmt.Sprintf("127.7.%d.%d", o.Network, i+1)
	at := func(port int) ident.Address { return ident.Address(ip + ":" + strconv.Itoa(port)) }
	r, err := relay.New(at(storePort), store, o.Seed)
	if err != nil {
		return nil, err
	}
	v := &vm{
		binary: filepath.Join(o.Binaries, "amaranthramp-gateway"), folder: filepath.Join(o.Work, fmt.Sprintf("vm-%d", i)),
		store: r,
		settings: &gateway.Settings{
			Name: ident.VM(fmt.Sprintf("vm-%d", i)), DataCentre: dataCentre(i), CallerAddress: at(callerPort),
			ReadyAddress: at(readyPort), PeerAddress: at(peerPort), StoreAddress: at(storePort), Grace: grace,
			Retry:        gateway.RetryBound{Share: 0.2, Slack: 56, Window: 10 * time.Second},
			WarmupFactor: 1.5, WarmupSlack: 5, ProbeRate: 60, Cores: 1, LinkMbps: 1000,
		},
	}
	if err := os.MkdirAll(v.folder, 0o755); err != nil {
		return nil, fmt.Errorf("folder of a VM: %w", err)
	}
	b, err := platform.EncodeSettings(v.settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(v.folder, "settings.toml"), b, 0o644); err != nil {
		return nil, fmt.Errorf("settings of a VM: %w", err)
	}
	return v, v.start()
}

func dataCentre(i int) ident.DataCentre {
	return ident.DataCentre("zone-" + string(rune('a'+i%2)))
}

// start starts the process; its log is appended to a file.
func (v *vm) start() error {
	log, err := os.OpenFile(filepath.Join(v.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("log of a VM: %w", err)
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(v.binary, "-settings", filepath.Join(v.folder, "settings.toml"))
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start a VM: %w", err)
	}
	ended := make(chan struct{})
	go func() {
		// How a process ends is of no interest: faults end them by signals.
		_ = c.Wait()
		close(ended)
	}()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process, v.ended, v.stopping = c, ended, time.Time{}
	return nil
}

// signal sends a signal to the process that this VM has started.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.ended:
	default:
		// A process that has just ended by itself can't be signalled.
		_ = v.process.Process.Signal(s)
	}
}

// kill ends the process at once and starts another after a pause.
func (v *vm) kill(pause time.Duration) error {
	v.fault.Lock()
	defer v.fault.Unlock()
	v.signal(syscall.SIGKILL)
	<-v.end()
	v.harm()
	time.Sleep(pause)
	return v.start()
}

// term is a planned stop and a start after it; it fails when the stop takes longer than the grace time.
func (v *vm) term() error {
	v.fault.Lock()
	defer v.fault.Unlock()
	v.mu.Lock()
	v.stopping = time.Now()
	v.mu.Unlock()
	v.signal(syscall.SIGTERM)
	select {
	case <-v.end():
	case <-time.After(grace + time.Second):
		v.signal(syscall.SIGKILL)
		<-v.end()
		return fmt.Errorf("%s did not end within %s of SIGTERM", v.settings.Name, grace)
	}
	return v.start()
}

// freeze stops the process for a time.
func (v *vm) freeze(d time.Duration) {
	v.fault.Lock()
	defer v.fault.Unlock()
	v.signal(syscall.SIGSTOP)
	time.Sleep(d)
	v.signal(syscall.SIGCONT)
	v.harm()
}

func (v *vm) harm() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.harmed = time.Now()
}

func (v *vm) end() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ended
}

// ready reports whether the VM says that it takes connections.
func (v *vm) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + string(v.settings.ReadyAddress) + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// close ends the process and the relay.
func (v *vm) close() {
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	<-v.end()
	v.store.Close()
}
