package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/platform"
	"github.com/amaranthramp/amaranthramp/standin/objects"
	"github.com/amaranthramp/amaranthramp/standin/target"
	"github.com/amaranthramp/amaranthramp/version/route"
)

// The bounds that operators are promised.
const (
	// grace is how long a process may go on after it was asked to stop.
	grace = 6 * time.Second
	// inForceWithin is how long after its acknowledgement a change may not be in force.
	inForceWithin = 2 * time.Second
	// contact is how long a VM has to be undisturbed for a bound in time to hold for it.
	contact = 3 * time.Second
	// recovery is how long after the last fault all VMs may not be ready.
	recovery = 8 * time.Second
)

// The size of a run.
const (
	targetsPerService = 5
	slots             = 3
	work              = 10 * time.Millisecond
	faultLoops        = 2
)

// Options say what a run consists of.
type Options struct {
	// Binaries is the folder of the built programs, Work that for settings and logs.
	Binaries, Work string
	// Network is the third number of the loopback addresses; runs side by side need different ones.
	Network int
	VMs     int
	Callers int
	Seed    uint64
	// For is how long faults are injected.
	For time.Duration
	// Verbose prints each fault.
	Verbose bool
}

// Result is what a run has shown.
type Result struct {
	Requests, Answered int
	Violations         []string
}

// soak is one run.
type soak struct {
	options *Options
	out     io.Writer
	store   *objects.Store
	storeMu sync.Mutex
	vms     []*vm
	record  *target.RunLog
	begun   time.Time

	mu      sync.Mutex
	targets []*target.Target
	// service is that of each target that ever was, and left when its leaving was acknowledged.
	service map[string]ident.Service
	left    map[string]time.Time
	// moved is when the moving route last changed its service, and to which.
	moved   time.Time
	movedTo ident.Service
	version ident.Version
	next    int
	// harms counts the faults of the store under way, and harmed is when the last one ended.
	harms      int
	harmed     time.Time
	violations []string
	requests   int
	answered   int
}

var services = []ident.Service{"book", "desk"}

// Run runs one soak; the error means that the run itself failed.
func Run(ctx context.Context, o *Options, out io.Writer) (*Result, error) {
	s := &soak{
		options: o, out: out, store: objects.New(), record: target.NewRunLog(), begun: time.Now(),
		service: map[string]ident.Service{}, left: map[string]time.Time{}, movedTo: services[0],
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	h := &http.Server{Handler: s.store, ReadHeaderTimeout: time.Second}
	go func() { _ = h.Serve(l) }()
	defer func() { _ = h.Close() }()
	defer s.close()
	if err := s.setUp(ident.Address(l.Addr().String())); err != nil {
		return nil, err
	}
	if err := s.waitReady(recovery); err != nil {
		return nil, err
	}
	s.inject(ctx)
	return &Result{Requests: s.requests, Answered: s.answered, Violations: s.violations}, nil
}

func (s *soak) setUp(store ident.Address) error {
	if err := s.moveRoute(); err != nil {
		return err
	}
	for _, v := range services {
		for range targetsPerService {
			if err := s.addTarget(v); err != nil {
				return err
			}
		}
	}
	for i := range s.options.VMs {
		v, err := newVM(s.options, i, store)
		if v != nil {
			s.vms = append(s.vms, v)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// inject runs callers and faults, then lets the fleet recover and checks that it has.
func (s *soak) inject(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var callers, loops sync.WaitGroup
	for i := range s.options.Callers {
		callers.Go(func() { s.call(ctx, i) })
	}
	until := time.Now().Add(s.options.For)
	for i := range faultLoops {
		loops.Go(func() { s.loop(ctx, rand.New(rand.NewPCG(s.options.Seed, uint64(i))), until) })
	}
	loops.Wait()
	if err := s.waitReady(recovery); err != nil {
		s.violation(err.Error())
	}
	s.checkServed()
	cancel()
	callers.Wait()
}

// checkServed asks every VM after the faults; each has to answer.
func (s *soak) checkServed() {
	c := &http.Client{Timeout: 3 * time.Second}
	for _, v := range s.vms {
		good := 0
		for i := range 10 {
			id := fmt.Sprintf("end-%s-%d", v.settings.Name, i)
			if a := s.send(context.Background(), c, v, "GET", "/read/x", id); a.status == http.StatusOK {
				good++
			}
		}
		if good < 9 {
			s.violation(fmt.Sprintf("%s answers %d of 10 requests after the faults", v.settings.Name, good))
		}
	}
}

func (s *soak) waitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for {
		n := 0
		for _, v := range s.vms {
			if v.ready() {
				n++
			}
		}
		if n == len(s.vms) {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d VMs are ready after %s", n, len(s.vms), limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *soak) close() {
	for _, v := range s.vms {
		v.close()
	}
	for _, t := range s.targets {
		t.Stop()
	}
}

func (s *soak) addTarget(v ident.Service) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	t, err := target.Start(fmt.Sprintf("t-%d", s.next), slots, work, &platform.Headers, s.record)
	if err != nil {
		return err
	}
	e, err := platform.EncodeTarget(t.Registration(v, dataCentre(s.next)), 0)
	if err != nil {
		return err
	}
	s.targets = append(s.targets, t)
	s.service[t.ID] = v
	s.store.Put(platform.TargetKind, t.ID, e)
	return nil
}

// replaceTarget starts another target for one that crashes, or that drains first.
func (s *soak) replaceTarget(r *rand.Rand, drain bool) error {
	t := s.anyTarget(r)
	s.mu.Lock()
	v := s.service[t.ID]
	for i := range s.targets {
		if s.targets[i] == t {
			s.targets = append(s.targets[:i:i], s.targets[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	if err := s.addTarget(v); err != nil {
		return err
	}
	if drain {
		g := t.Registration(v, dataCentre(0))
		g.Draining = true
		e, err := platform.EncodeTarget(g, 0)
		if err != nil {
			return err
		}
		s.store.Put(platform.TargetKind, t.ID, e)
		s.mu.Lock()
		s.left[t.ID] = time.Now()
		s.mu.Unlock()
		time.Sleep(inForceWithin + time.Second)
	}
	t.Stop()
	s.store.Delete(platform.TargetKind, t.ID)
	return nil
}

// moveRoute writes a configuration in which the moving route goes to the other service.
func (s *soak) moveRoute() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	to := services[int(s.version)%len(services)]
	one := func(n ident.Service) []route.Backend { return []route.Backend{{Service: n, Weight: 1}} }
	base := route.Route{Host: host, Timeout: 2 * time.Second, Objective: 500 * time.Millisecond, MaxAttempts: 2}
	read, claim, move := base, base, base
	read.Name, read.Prefix, read.Idempotent, read.Backends = "read", "/read/", true, one(services[0])
	claim.Name, claim.Prefix, claim.Backends = "claim", "/claim/", one(services[1])
	move.Name, move.Prefix, move.Idempotent, move.Backends = "move", "/move/", true, one(to)
	text, err := platform.EncodeConfiguration(s.version,
		[]route.Service{{Name: services[0], HealthPath: "/health"}, {Name: services[1], HealthPath: "/health"}},
		[]route.Route{read, claim, move})
	if err != nil {
		return err
	}
	s.store.Put(platform.ConfigurationKind, platform.ConfigurationName, text)
	s.moved, s.movedTo = time.Now(), to
	return nil
}

func (s *soak) anyVM(r *rand.Rand) *vm {
	return s.vms[r.IntN(len(s.vms))]
}

func (s *soak) anyTarget(r *rand.Rand) *target.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[r.IntN(len(s.targets))]
}

func (s *soak) beginHarm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.harms++
}

func (s *soak) endHarm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.harms--
	s.harmed = time.Now()
}

func (s *soak) violation(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("%.3f s: %s", time.Since(s.begun).Seconds(), text))
}

func (s *soak) say(format string, a ...any) {
	if s.options.Verbose {
		// What can't be printed is not part of the verdict.
		_, _ = fmt.Fprintf(s.out, "%8.3f s  "+format+"\n", append([]any{time.Since(s.begun).Seconds()}, a...)...)
	}
}

// ErrViolated means that a promise was broken.
var ErrViolated = errors.New("soak: a promise was broken")
