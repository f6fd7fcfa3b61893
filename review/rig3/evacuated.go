package main

import (
	"errors"
	"time"
)

// The timing of case 12.
const (
	// evacuateBound is evacuate-ms, and stretch max-stretch-ms, by which an unstable store stretches it at most.
	evacuateBound = 5 * time.Second
	stretch       = 5 * time.Second
	// losesFor is how long answers of the store get lost, and evacuatedFor how long the evacuation lasts.
	losesFor     = 4500 * time.Millisecond
	evacuatedFor = 26 * time.Second
)

// evacuated is case 12: the operator evacuates a zone while answers of the store get lost.
func evacuated(w *world, trouble bool) (result, error) {
	if err := w.addTargets("remit-intake", 9, 160*time.Millisecond); err != nil {
		return false, err
	}
	w.configure(oneRoute(1000))
	if err := w.startMachines(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	load := w.startLoad("POST", "/gowu831/2f", 20*time.Millisecond)
	time.Sleep(time.Second)
	if trouble {
		w.store.lose("evacuations")
	}
	zone := w.targets[0].zone
	w.store.put("evacuations", zone, struct{}{})
	ack := time.Now()
	w.record.say("the store has acknowledged that zone %s is evacuated", zone)
	time.Sleep(losesFor)
	lost, answered := w.store.lose("")
	w.record.say("answers of the store to watches in %v: %d lost, %d not", losesFor, lost, answered)
	if trouble && lost == 0 {
		return false, errors.New("no answer got lost")
	}
	time.Sleep(time.Until(ack.Add(evacuatedFor)))
	load.stop()
	bound := evacuateBound + stretch
	late, last := 0, time.Duration(0)
	for _, x := range w.targets {
		if x.zone != zone {
			continue
		}
		for _, s := range x.after(ack, bound) {
			w.record.add("late     %s reached %s %.2f s after the ack", s.id, x.id, s.at.Sub(ack).Seconds())
			late++
			last = max(last, s.at.Sub(ack))
		}
	}
	w.record.say("requests that reached targets in %s later than %v after the ack: %d", zone, bound, late)
	w.record.say("the last of them: %.1f s after the ack", last.Seconds())
	w.record.say("requests of consumers: %s", load)
	return late > 0, nil
}
