package main

import "time"

const (
	// moreRoutes are the routes by which the configuration has grown: five times the 452 of one change.
	moreRoutes = 5 * 452
	// stormEvery is the time between two configurations, and stormFor the time for which they come.
	stormEvery = 330 * time.Millisecond
	stormFor   = 95 * time.Second
)

// storm writes one configuration after the other.
func storm(r *rig) (verdict, error) {
	more := moreRoutes
	if err := r.setUp(newConfiguration(7, more)); err != nil {
		return verdict{}, err
	}
	t := r.startTraffic()
	time.Sleep(3 * time.Second)
	r.superviseAll()
	n := 0
	for end := time.Now().Add(stormFor); time.Now().Before(end); time.Sleep(stormEvery) {
		if !r.trouble {
			continue
		}
		n++
		c := newConfiguration(7+n, more)
		// A change of a time limit that no request reaches.
		c.Hosts[0].Paths[1].Timeout += n
		r.store.put("config", "main", c)
	}
	r.note("the operator has written %d configurations of %d routes", n, more+len(classes))
	t.end()
	return t.judge(), nil
}
