package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict says how a script ended.
type verdict struct {
	broken bool
	text   string
}

// scripts are the cases by name.
var scripts = map[string]func(*rig) (verdict, error){
	"odd-entries": oddEntriesCase,
	"storm":       storm,
	"paths":       paths,
}

// rig is what a script runs in.
type rig struct {
	trouble bool
	folder  string
	base    int
	store   *store
	targets []*target
	runs    *runs

	mu       sync.Mutex
	record   *os.File
	began    time.Time
	gateways []*gateway
}

var errUsage = errors.New("usage: rig2 SCRIPT RECORD; TROUBLE=0 leaves the disruption out, KEEP=1 keeps the logs")

func main() {
	code, err := start(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
	}
	os.Exit(code)
}

func start(args []string) (int, error) {
	if len(args) != 2 || scripts[args[0]] == nil {
		return exitNotRun, errUsage
	}
	f, err := os.Create(args[1])
	if err != nil {
		return exitNotRun, err
	}
	defer func() { _ = f.Close() }()
	folder, err := os.MkdirTemp("", "rig2")
	if err != nil {
		return exitNotRun, err
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		}
	}()
	r := &rig{
		trouble: os.Getenv("TROUBLE") != "0", folder: folder, base: os.Getpid(), record: f, began: time.Now(),
		runs: &runs{byID: map[string][]*run{}},
	}
	defer r.stop()
	c := make(chan os.Signal, 1)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-c
		r.stop()
		os.Exit(exitNotRun)
	}()
	v, err := scripts[args[0]](r)
	if err != nil {
		r.note("not run: %v", err)
		return exitNotRun, err
	}
	r.note("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// note writes a line into the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// stop ends all gateways.
func (r *rig) stop() {
	r.mu.Lock()
	l := r.gateways
	r.gateways = nil
	r.mu.Unlock()
	for _, g := range l {
		g.kill()
	}
}

// machines are those of each data centre.
var machines = []struct {
	zone  string
	count int
}{{"kgl-a", 5}, {"kgl-b", 5}, {"kgl-c", 3}}

// setUp starts the store, the targets and the machines of the deployment and waits until all machines are ready.
func (r *rig) setUp(c configuration) error {
	a, err := freePort(loopback(r.base, 0))
	if err != nil {
		return err
	}
	if r.store, err = newStore(a); err != nil {
		return err
	}
	r.store.put("config", "main", c)
	for _, v := range []struct {
		service string
		count   int
	}{{memberLedger, 8}, {remitIntake, 6}, {statementDesk, 12}} {
		if err := r.addTargets(v.service, v.count); err != nil {
			return err
		}
	}
	for _, m := range machines {
		for i := range m.count {
			r.mu.Lock()
			n := len(r.gateways)
			r.mu.Unlock()
			g, err := newGateway(r.folder, fmt.Sprintf("front-%s-%d", m.zone, i+1), loopback(r.base, 1+n), m.zone, a)
			if err != nil {
				return err
			}
			r.mu.Lock()
			r.gateways = append(r.gateways, g)
			r.mu.Unlock()
		}
	}
	return awaitReady(r.gateways, 30*time.Second)
}

// slots are the concurrent requests of a target.
const slots = 3

// addTargets starts n targets of a service in turn in the data centres.
func (r *rig) addTargets(service string, n int) error {
	for i := range n {
		a, err := freePort(loopback(r.base, 100))
		if err != nil {
			return err
		}
		id, z := fmt.Sprintf("i-%s-%d", service, i+1), machines[i%len(machines)].zone
		t, err := newTarget(id, service, a, z, slots, r.store, r.runs)
		if err != nil {
			return err
		}
		r.targets = append(r.targets, t)
	}
	return nil
}

// judge judges LOST, for which a process that ends by itself counts as running, and counts such ends.
func (t *traffic) judge() verdict {
	lost := t.lost()
	for _, x := range lost {
		t.rig.note("%s at %s: sent on a kept connection, run by a target, connection closed after %.0f ms without an answer",
			x.id, x.machine, float64(x.ended.Sub(x.sent).Microseconds())/1000)
	}
	t.summary()
	ends, on, often := 0, 0, 0
	for _, g := range t.rig.gateways {
		c, _ := g.current()
		t.rig.note("%s: %d MB of anonymous memory at the end", g.name, anonymous(c.Process.Pid)>>10)
		g.mu.Lock()
		ends += g.ends
		if g.ends > 0 {
			on++
		}
		if g.ends >= oftenEnds {
			often++
		}
		g.mu.Unlock()
	}
	return verdict{broken: len(lost) > maxLost, text: fmt.Sprintf(
		"LOST: %d requests of kept connections were run and not answered, %d are allowed; %d processes ended, on %d of %d "+
			"machines, three times on %d", len(lost), maxLost, ends, on, len(t.rig.gateways), often)}
}

// oftenEnds is how often processes end on a machine that counts for the rule on faults.
const oftenEnds = 3

// maxLost is how many such requests LOST allows.
const maxLost = 3
