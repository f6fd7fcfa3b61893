package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthramp/amaranthramp/standin/objects"
)

const (
	exposureBound = `,"exposure-share=0.1","exposure-slack=50","rollback-ms=5000"`
	// exposureShare and exposureSlack are the same bounds as numbers.
	exposureShare = 0.1
	exposureSlack = 50

	rolledService    = "allocdesk"
	versionTargets   = 6
	versionSlots     = 3
	versionWork      = 20 * time.Millisecond
	badShare         = 1.0 / 3
	exposureMachines = 6
	exposureClients  = 30
	exposurePause    = 150 * time.Millisecond
	exposureLeft     = 4 * time.Second
	// goodSeconds and orderSeconds are the time limits of the orders of the good and of the bad version.
	goodSeconds  = 30
	orderSeconds = 12
	// copyInterval is the time between two copies of the store, and copyAge the least age of the one that comes back.
	copyInterval = 200 * time.Millisecond
	copyAge      = 2 * time.Second
	storeAway    = 300 * time.Millisecond
	// nextOrder is the time between the completion of an order and the next order.
	nextOrder = 500 * time.Millisecond
	// restoreAfter is the time between the second order and the moment at which the store is away.
	restoreAfter = time.Second
	// rewriteAfter is the time after which the operator and the targets write again what the store has lost.
	rewriteAfter = time.Second
	// lapseTime is three status report intervals, after which the store removes an entry whose target is silent.
	lapseTime = 4500 * time.Millisecond
	// drainAfter is the time between a roll-back and the moment at which the new targets drain.
	drainAfter = 8 * time.Second
)

// exposureCase is the state of the case.
type exposureCase struct {
	env  *env
	runs *runs

	mu sync.Mutex
	// versions holds the version of each target, by its id.
	versions map[string]string
	targets  map[string][]*target
	copies   []storeCopy
	// failed holds when each answer but a success came.
	failed []time.Time
	// back is when the store was back from the copy.
	back time.Time
}

// storeCopy is a copy of the store of some time ago.
type storeCopy struct {
	at   time.Time
	copy *objects.Copy
}

// runExposure checks EXPOSURE: an order to roll out a good version is completed, and the next one is for a bad version.
// Just after that the store is away for a moment and comes back from a copy that is about two seconds old.
func runExposure(e *env, trouble bool) (verdict, error) {
	e.moreBounds = exposureBound
	d := &exposureCase{
		env: e, runs: &runs{m: map[string][]*run{}}, versions: map[string]string{}, targets: map[string][]*target{},
	}
	if err := e.configure(1, defaultLimits(), routeSpec{
		Name: "claim", PathPrefix: "/claim/", Kind: "unsafe", TimeoutMs: 2000, AimMs: 600, Priority: 0,
		Service: rolledService, MaxAttempts: 2,
	}); err != nil {
		return verdict{}, err
	}
	if err := d.startVersion("v1", nil); err != nil {
		return verdict{}, err
	}
	for i := range exposureMachines {
		if err := e.addGateway(zones[i%len(zones)], 1+i/len(zones), true); err != nil {
			return verdict{}, err
		}
	}
	if err := e.awaitGateways(e.gateways); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact + time.Second)
	stop := make(chan struct{})
	var w sync.WaitGroup
	for i := range exposureClients {
		w.Go(func() { d.claim(e.gateways[i%exposureMachines].front(), stop) })
	}
	go d.keepCopies(stop)
	v, err := d.rollOutBoth(trouble)
	close(stop)
	w.Wait()
	return v, err
}

// rollOutBoth orders a good version and then a bad one.
func (d *exposureCase) rollOutBoth(trouble bool) (verdict, error) {
	time.Sleep(2 * time.Second)
	if err := d.order("v2", nil); err != nil {
		return verdict{}, err
	}
	if s := d.awaitEnd("v2", goodSeconds*time.Second); s != "completed" {
		return verdict{}, fmt.Errorf("the order of the good version ended with %q", s)
	}
	d.stopVersion("v1")
	time.Sleep(nextOrder)
	ordered := time.Now()
	if err := d.order("v3", failPart); err != nil {
		return verdict{}, err
	}
	time.Sleep(restoreAfter)
	if trouble {
		d.restore()
	}
	state := d.awaitEnd("v3", orderSeconds*time.Second)
	d.env.record("the order of v3 is %q", state)
	if state == "rolled_back" {
		time.Sleep(drainAfter)
		for _, t := range d.targets["v3"] {
			t.register("draining")
		}
		d.env.record("the targets of v3 drain")
	}
	limit := ordered.Add(orderSeconds * time.Second)
	time.Sleep(time.Until(limit) + exposureLeft/2)
	return d.judge(ordered, limit, state), nil
}

// failPart fails a part of the requests once they have run.
func failPart(w http.ResponseWriter, _ *http.Request) bool {
	if rand.Float64() >= badShare {
		return false
	}
	w.WriteHeader(http.StatusInternalServerError)
	return true
}

// startVersion starts targets of a version; answer overrides the answers of a bad one.
func (d *exposureCase) startVersion(version string, answer func(http.ResponseWriter, *http.Request) bool) error {
	for i := range versionTargets {
		id := fmt.Sprintf("i-%s-%d", version, i)
		t, err := d.env.newVersionTarget(id, rolledService, zones[i%len(zones)], version, versionSlots,
			versionWork, d.runs)
		if err != nil {
			return err
		}
		t.answer = answer
		d.mu.Lock()
		d.versions[id] = version
		d.targets[version] = append(d.targets[version], t)
		d.mu.Unlock()
	}
	return nil
}

// stopVersion stops the targets of a version at once, as the platform does once an order is completed.
func (d *exposureCase) stopVersion(version string) {
	for _, t := range d.targets[version] {
		_ = t.server.Close()
		d.env.store.Delete("servers", t.id)
	}
	d.env.record("the targets of %s have stopped", version)
}

// order starts the targets of a version and orders its roll-out.
func (d *exposureCase) order(version string, answer func(http.ResponseWriter, *http.Request) bool) error {
	d.putOrder(version)
	d.env.record("the operator orders %s", version)
	return d.startVersion(version, answer)
}

func (d *exposureCase) putOrder(version string) {
	seconds := orderSeconds
	if version == "v2" {
		seconds = goodSeconds
	}
	d.env.store.Put("rollouts", rolledService, fmt.Sprintf(`{"service":%q,"new-version":%q,"duration-s":%d}`,
		rolledService, version, seconds))
}

// awaitEnd waits for the end of the order of a version and returns its last state.
func (d *exposureCase) awaitEnd(version string, most time.Duration) string {
	last := ""
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, w := range d.env.store.StatusWrites() {
			var n struct {
				State   string `json:"state"`
				Version string `json:"new-version"`
			}
			if json.Unmarshal([]byte(w.Status), &n) == nil && n.Version == version {
				last = n.State
			}
		}
		if last == "completed" || last == "rolled_back" {
			d.env.record("status of %s: %s", version, last)
			return last
		}
	}
	return last
}

// keepCopies copies the store now and then.
func (d *exposureCase) keepCopies(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(copyInterval):
		}
		d.mu.Lock()
		d.copies = append(d.copies, storeCopy{time.Now(), d.env.store.Copy()})
		d.mu.Unlock()
	}
}

// restore lets the store be away for a moment and come back from a copy. The operator and the targets then write again
// what it has lost.
func (d *exposureCase) restore() {
	d.env.store.SetFaults(objects.Faults{Silent: true})
	d.env.record("the store is away")
	time.Sleep(storeAway)
	d.mu.Lock()
	old := d.copies[0]
	for _, c := range d.copies {
		if time.Since(c.at) >= copyAge {
			old = c
		}
	}
	d.back = time.Now()
	d.mu.Unlock()
	d.env.store.Restore(old.copy)
	d.env.store.SetFaults(objects.Faults{})
	d.env.record("the store is back from a copy that is %d ms old", time.Since(old.at).Milliseconds())
	time.Sleep(rewriteAfter)
	for _, t := range d.targets["v3"] {
		t.register("ready")
	}
	d.putOrder("v3")
	d.env.record("the operator and the targets have written again what the store has lost")
	time.AfterFunc(lapseTime-rewriteAfter, func() {
		for _, t := range d.targets["v1"] {
			d.env.store.Delete("servers", t.id)
		}
		d.env.record("the store has removed the entries of v1, which have been silent")
	})
}

// claim sends requests on a kept connection until stop is closed.
func (d *exposureCase) claim(address string, stop <-chan struct{}) {
	c := &consumer{address: address}
	defer c.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(exposurePause):
		}
		n := newRequest(http.MethodPost, "/claim/batch", exposureLeft)
		n.body = []byte("batch=1")
		o := c.do(n)
		if o.status != http.StatusOK {
			d.env.record("%s", o.text())
			d.mu.Lock()
			d.failed = append(d.failed, time.Now())
			d.mu.Unlock()
		}
	}
}

// judge counts the requests that reached the bad version. Machines are out of touch until contact-ms after the store is
// back, and what reached the bad version meanwhile does not count.
func (d *exposureCase) judge(ordered, limit time.Time, state string) verdict {
	d.runs.mu.Lock()
	defer d.runs.mu.Unlock()
	total, bad, excused, afterEnd := 0, 0, 0, 0
	ended := d.endOf("v3")
	bySecond := map[int]int{}
	for _, l := range d.runs.m {
		for _, n := range l {
			if n.began.Before(ordered) || n.began.After(limit) {
				continue
			}
			total++
			switch {
			case d.versions[n.target] != "v3":
			case !d.back.IsZero() && n.began.After(d.back.Add(-storeAway)) && n.began.Before(d.back.Add(contact)):
				excused++
			default:
				bad++
				bySecond[int(n.began.Sub(ordered).Seconds())]++
				if !ended.IsZero() && n.began.After(ended) {
					afterEnd++
				}
			}
		}
	}
	for s := range orderSeconds {
		d.env.record("second %d after the order: %d requests that count reached the bad version", s, bySecond[s])
	}
	most := exposureShare*float64(total) + exposureSlack
	return verdict{
		broken: float64(bad) > most || state == "completed",
		text: fmt.Sprintf("EXPOSURE: the bad version got %d of %d requests from machines in touch, at most %.0f are "+
			"allowed; %d more are excused; its order ended with %q, after which it got %d of those that count; "+
			"%d consumers got a failure after that end",
			bad, total, most, excused, state, afterEnd, d.failedAfter(ended)),
	}
}

// failedAfter counts the answers but successes that came after a time.
func (d *exposureCase) failedAfter(end time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, at := range d.failed {
		if !end.IsZero() && at.After(end) {
			n++
		}
	}
	return n
}

// endOf returns when the order of a version was ended.
func (d *exposureCase) endOf(version string) time.Time {
	for _, w := range d.env.store.StatusWrites() {
		var n struct {
			State   string `json:"state"`
			Version string `json:"new-version"`
		}
		if json.Unmarshal([]byte(w.Status), &n) == nil && n.Version == version && n.State != "running" {
			return w.At
		}
	}
	return time.Time{}
}
