package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/amaranthramp/amaranthramp/bench/relay"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// stopLimit bounds how long a process may take to end after SIGTERM.
const stopLimit = 10 * time.Second

// Options configure a deployment.
type Options struct {
	// Binaries is the directory of the built programs.
	Binaries string
	// Configuration is the file of the initial configuration.
	Configuration string
	// Work is the directory for settings and logs.
	Work string
	// Network is the second byte of the loopback addresses, so that concurrent deployments don't collide.
	Network int
	// VMs is the number of entry VMs.
	VMs int
	// Mean is the mean service time of the upstreams.
	Mean time.Duration
	// Warm starts the upstreams without a warm-up.
	Warm bool
}

// Fleet is a running deployment.
type Fleet struct {
	options   Options
	Config    *config.Config
	Platform  *Process
	Upstreams *Process
	VMs       []*VM
}

// VM is one entry VM with its two processes.
type VM struct {
	Name    ident.VM
	Index   int
	Entry   *Process
	Control *Process
	// Relay forwards the connections of the VM to the platform.
	Relay   *relay.Relay
	network int
}

// Process is a started program.
type Process struct {
	cmd  *exec.Cmd
	done chan error
}

// Start starts the stand-ins, then the entry VMs, and waits until each VM is ready.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{options: o}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

// Stop stops all processes and returns an error for each that had to be killed.
func (f *Fleet) Stop() error {
	var l []error
	for _, v := range f.VMs {
		l = append(l, v.Entry.Stop(), v.Control.Stop())
		if v.Relay != nil {
			v.Relay.Close()
		}
	}
	l = append(l, f.Upstreams.Stop(), f.Platform.Stop())
	return errors.Join(l...)
}

// CallerURL returns the base URL for callers.
func (v *VM) CallerURL() string {
	return fmt.Sprintf("http://127.%d.1.%d:7000", v.network, v.Index)
}

// ReadyURL returns the URL at which the platform's balancer asks whether the VM accepts new requests.
func (v *VM) ReadyURL() string {
	return fmt.Sprintf("http://127.%d.1.%d:7002/ready", v.network, v.Index)
}

// OperatorURL returns the base URL of the control process for operators.
func (v *VM) OperatorURL() string {
	return fmt.Sprintf("http://127.%d.1.%d:7005", v.network, v.Index)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return p.cmd.Process.Signal(s)
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() error {
	if err := p.cmd.Process.Kill(); err != nil {
		return fmt.Errorf("kill process: %w", err)
	}
	err := <-p.done
	p.done <- err
	return nil
}

// Stop stops the process by SIGTERM, and by SIGKILL after stopLimit, which is an error. The process may be nil,
// suspended or exited.
func (p *Process) Stop() error {
	if p == nil {
		return nil
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	select {
	case err := <-p.done:
		p.done <- err
		return nil
	case <-time.After(stopLimit):
		_ = p.cmd.Process.Kill()
		return fmt.Errorf("%s did not exit within %s of SIGTERM", filepath.Base(p.cmd.Path), stopLimit)
	}
}

func (f *Fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(f.options.Work, 0o755); err != nil {
		return fmt.Errorf("create work directory: %w", err)
	}
	file, err := f.writeConfiguration()
	if err != nil {
		return err
	}
	f.Platform, err = f.startProcess("platform", "amaranthramp-standin",
		"platform", "-address", f.platformAddress(), "-configuration", file)
	if err != nil {
		return err
	}
	f.Upstreams, err = f.startProcess("upstreams", "amaranthramp-standin", f.upstreamArguments(file)...)
	if err != nil {
		return err
	}
	if err := waitOK(ctx, "http://"+f.judgeAddress()+"/judge"); err != nil {
		return fmt.Errorf("upstreams not ready: %w", err)
	}
	for i := range f.options.VMs {
		v := &VM{Index: i + 1, Name: ident.VM(fmt.Sprintf("entry-%d", i+1)), network: f.options.Network}
		f.VMs = append(f.VMs, v)
		if v.Relay, err = relay.New(f.relayAddress(v), ident.Address(f.platformAddress()), uint64(v.Index)); err != nil {
			return err
		}
		if err := f.StartVM(v); err != nil {
			return err
		}
	}
	return f.waitReady(ctx)
}

func (f *Fleet) upstreamArguments(file string) []string {
	l := []string{"upstreams", "-configuration", file, "-judge", f.judgeAddress()}
	if f.options.Mean > 0 {
		l = append(l, "-mean", f.options.Mean.String())
	}
	if f.options.Warm {
		l = append(l, "-warmup", "0")
	}
	return l
}

// StartVM starts both processes of a VM.
func (f *Fleet) StartVM(v *VM) error {
	file := filepath.Join(f.options.Work, string(v.Name)+".toml")
	if err := os.WriteFile(file, []byte(f.settingsText(v)), 0o644); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	var err error
	if v.Control, err = f.startProcess(string(v.Name)+"-control", "amaranthramp-control", "-settings", file); err != nil {
		return err
	}
	v.Entry, err = f.startProcess(string(v.Name)+"-entry", "amaranthramp-entry", "-settings", file)
	return err
}

// waitReady waits until all VMs are ready.
func (f *Fleet) waitReady(ctx context.Context) error {
	for _, v := range f.VMs {
		if err := waitOK(ctx, v.ReadyURL()); err != nil {
			return fmt.Errorf("%s not ready: %w", v.Name, err)
		}
	}
	return nil
}

// writeConfiguration writes the configuration with its addresses in the network of the deployment.
func (f *Fleet) writeConfiguration() (string, error) {
	b, err := os.ReadFile(f.options.Configuration)
	if err != nil {
		return "", fmt.Errorf("read configuration: %w", err)
	}
	t := strings.ReplaceAll(string(b), `"127.0.`, fmt.Sprintf(`"127.%d.`, f.options.Network))
	if f.Config, err = config.Parse([]byte(t)); err != nil {
		return "", err
	}
	n := filepath.Join(f.options.Work, "configuration.toml")
	return n, os.WriteFile(n, []byte(t), 0o644)
}

func (f *Fleet) platformAddress() string {
	return fmt.Sprintf("127.%d.3.1:9500", f.options.Network)
}

func (f *Fleet) relayAddress(v *VM) ident.Address {
	return ident.Address(fmt.Sprintf("127.%d.4.%d:9500", v.network, v.Index))
}

// settingsText returns the settings file of a VM.
func (f *Fleet) settingsText(v *VM) string {
	d := f.Config.DataCentre[(v.Index-1)%len(f.Config.DataCentre)].Name
	a := fmt.Sprintf("127.%d.1.%d", v.network, v.Index)
	return fmt.Sprintf(`Name = %q
DataCentre = %q
Region = "bench"
Platform = "http://%s"

[Entry]
CallerAddress = "%[4]s:7000"
PeerAddress = "%[4]s:7001"
OperatorAddress = "%[4]s:7002"

[Control]
LinkAddress = "%[4]s:7003"
WitnessAddress = "%[4]s:7004"
OperatorAddress = "%[4]s:7005"
Seeds = ["127.%[5]d.1.1:7005", "127.%[5]d.1.2:7005"]

[Log]
Level = "info"
`, v.Name, d, f.relayAddress(v), a, v.network)
}

// startProcess starts a program whose output goes to the given log file.
func (f *Fleet) startProcess(log, program string, args ...string) (*Process, error) {
	w, err := os.Create(filepath.Join(f.options.Work, log+".log"))
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	defer func() { _ = w.Close() }()
	c := exec.Command(filepath.Join(f.options.Binaries, program), args...)
	c.Stdout, c.Stderr = w, w
	if err := c.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	p := &Process{cmd: c, done: make(chan error, 1)}
	go func() { p.done <- c.Wait() }()
	return p, nil
}

// waitOK waits until the URL answers with status 200.
func waitOK(ctx context.Context, url string) error {
	for ctx.Err() == nil {
		p, err := http.Get(url)
		if err == nil {
			_ = p.Body.Close()
			if p.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ctx.Err()
}
