package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// world is one small deployment: the store, the targets and the machines.
type world struct {
	record   *record
	network  *network
	store    *store
	storeAt  string
	dir      string
	targets  []*target
	machines []*machine
	version  int
}

func newWorld(r *record) (*world, error) {
	w := &world{record: r, network: newNetwork(), store: newStore(), version: 6}
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	w.dir = dir
	ip, err := w.network.ip()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	w.storeAt = l.Addr().String()
	go func() { _ = (&http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return w, nil
}

// close ends all processes and removes their files.
func (w *world) close() {
	var g sync.WaitGroup
	for _, m := range w.machines {
		g.Go(m.kill)
	}
	g.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
		return
	}
	fmt.Println("files of the run:", w.dir)
}

// addTargets starts n targets of a service in the zones in turn, and registers them.
func (w *world) addTargets(service string, n int, work time.Duration) error {
	for i := range n {
		if err := w.addTarget(service, i, work); err != nil {
			return err
		}
	}
	return nil
}

// addTarget starts the target of a service with a number, and registers it.
func (w *world) addTarget(service string, i int, work time.Duration) error {
	ip, err := w.network.ip()
	if err != nil {
		return err
	}
	id := fmt.Sprintf("i-%s-%d", service, i)
	t, err := newTarget(w.record, ip, id, service, zones[i%len(zones)], work)
	if err != nil {
		return err
	}
	w.targets = append(w.targets, t)
	w.store.put("servers", id, t.registration())
	return nil
}

// configure writes the next version of the configuration.
func (w *world) configure(c configuration) {
	c.BaseVersion = w.version
	w.version += 3
	c.Version = w.version
	w.store.put("config", "main", c)
	w.record.say("operator: the store has acknowledged configuration %d", c.Version)
}

// newMachine returns a machine that has not been started.
func (w *world) newMachine(i int) (*machine, error) {
	ip, err := w.network.ip()
	if err != nil {
		return nil, err
	}
	z := zones[i%len(zones)]
	name := fmt.Sprintf("front-%s-%d", z, 1+i/len(zones))
	return &machine{name: name, ip: ip, zone: z, dir: w.dir, store: w.storeAt}, nil
}

// machineCount is the number of machines of a small deployment.
const machineCount = 13

// startMachines starts the machines of the system for the first time, and waits until all are ready.
func (w *world) startMachines() error {
	for i := range machineCount {
		m, err := w.newMachine(i)
		if err != nil {
			return err
		}
		w.machines = append(w.machines, m)
		if err := m.start(true); err != nil {
			return err
		}
	}
	return w.waitReady(30 * time.Second)
}

func (w *world) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, m := range w.machines {
			if m.ready() {
				n++
			}
		}
		if n == len(w.machines) {
			w.record.say("all %d machines are ready", n)
			return nil
		}
	}
	return errors.New("not all machines became ready")
}
