package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

// The timing of case 11.
const (
	// contact is contact-ms of the settings, with a margin: the store is stable and machines are in touch that long after
	// the disturbance.
	contact = 3500 * time.Millisecond
	// drainBound is drain-ms.
	drainBound = 2 * time.Second
	// lossTime is how long answers of the store get lost.
	lossTime = 2 * time.Second
	// configAfter is how long after the change of a target the operator changes the configuration.
	configAfter = 200 * time.Millisecond
	// leavesAfter is how long after its report the target exits.
	leavesAfter = 7 * time.Second
)

// leaving is case 11: a target reports that it is draining, and the operator changes a time-out a moment later, after
// a time in which answers of the store got lost.
func leaving(w *world, trouble bool) (result, error) {
	if err := w.addTargets("remit-intake", 8, 160*time.Millisecond); err != nil {
		return false, err
	}
	w.configure(oneRoute(1000))
	if err := w.startMachines(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	load := w.startLoad("POST", "/gowu831/2f", 20*time.Millisecond)
	time.Sleep(lossTime)
	if err := w.loseAnswers(trouble); err != nil {
		return false, err
	}
	time.Sleep(contact)
	x := w.targets[0]
	e := x.registration()
	e.Status.State, e.Status.SeqNo = "draining", 2
	w.store.put("servers", x.id, e)
	ack := time.Now()
	w.record.say("the store has acknowledged that target %s is draining", x.id)
	time.Sleep(configAfter)
	w.configure(oneRoute(1200))
	time.Sleep(time.Until(ack.Add(leavesAfter)))
	late := x.after(ack, drainBound)
	w.record.say("target %s exits", x.id)
	_ = x.server.Close()
	w.store.remove("servers", x.id)
	time.Sleep(2 * time.Second)
	load.stop()
	for _, s := range late {
		w.record.add("late     %s reached %s %.2f s after the ack", s.id, x.id, s.at.Sub(ack).Seconds())
	}
	w.record.say("requests that reached %s later than %v after the ack: %d", x.id, drainBound, len(late))
	w.record.say("requests of consumers: %s", load)
	w.record.say("of those that %s had begun to run, without its answer: %d", x.id, load.unanswered(x))
	return len(late) > 0, nil
}

// loseAnswers has the answers to the watches of the targets get lost for a moment, if trouble is set, in which a target
// is added and the configuration changes.
func (w *world) loseAnswers(trouble bool) error {
	kind := ""
	if trouble {
		kind = "servers"
	}
	w.store.lose(kind)
	end := time.Now().Add(lossTime)
	if err := w.addTarget("remit-intake", len(w.targets), 160*time.Millisecond); err != nil {
		return err
	}
	w.record.say("target %s has registered", w.targets[len(w.targets)-1].id)
	time.Sleep(configAfter)
	w.configure(oneRoute(1100))
	time.Sleep(time.Until(end))
	lost, answered := w.store.lose("")
	w.record.say("answers of the store to watches in %v: %d lost, %d not", lossTime, lost, answered)
	if trouble && lost == 0 {
		return errors.New("no answer got lost")
	}
	return nil
}

// oneRoute returns a configuration with one route for requests that may run once, and its time-out.
func oneRoute(ms int) configuration {
	return configuration{
		Services: []service{newService("remit-intake")}, Limits: smallLimits(),
		Hosts: []host{{Host: testHost, Paths: []path{{
			Name: "r-9dnn2ct", PathPrefix: "/gowu831/", Kind: "unsafe", TimeoutMs: ms, AimMs: 400, Priority: 1,
			Service: "remit-intake", MaxAttempts: 2,
		}}}},
	}
}

// testHost is the host of all routes.
const testHost = "timi18.example"

// load is a consumer at each machine that sends a request after the other.
type load struct {
	world *world
	done  chan struct{}
	wait  sync.WaitGroup

	mu      sync.Mutex
	answers map[string]answer
}

// startLoad starts the consumers, each of which pauses for the given time between two requests.
func (w *world) startLoad(method, path string, pause time.Duration) *load {
	l := &load{world: w, done: make(chan struct{}), answers: map[string]answer{}}
	for _, m := range w.machines {
		l.wait.Go(func() {
			for {
				select {
				case <-l.done:
					return
				case <-time.After(pause):
					l.request(m, method, path)
				}
			}
		})
	}
	return l
}

// request sends one request on a new connection.
func (l *load) request(m *machine, method, path string) {
	c, err := connect(m.front())
	if err != nil {
		l.world.record.add("no connection to %s: %v", m.name, err)
		return
	}
	defer c.close()
	id := newID()
	l.world.record.add("sent     %s to %s: %s %s", id, m.name, method, path)
	a, err := c.send(method, path, id, "", "amount=12")
	if err != nil {
		l.world.record.add("answer   %s: none, %v", id, err)
	} else {
		l.world.record.add("answer   %s: %d", id, a.status)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[id] = a
}

func (l *load) stop() {
	close(l.done)
	l.wait.Wait()
}

// String returns how often each status was answered.
func (l *load) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := map[int]int{}
	for _, a := range l.answers {
		n[a.status]++
	}
	return countsOf(n)
}

// unanswered returns how many requests a target has begun to run whose consumer did not get a success.
func (l *load) unanswered(t *target) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for id, a := range l.answers {
		if a.status != http.StatusOK && t.began(id) {
			n++
		}
	}
	return n
}
