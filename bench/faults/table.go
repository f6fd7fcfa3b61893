package faults

import (
	"slices"
	"time"

	"github.com/amaranthramp/amaranthramp/bench/schedule"
	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/standin/server"
	"github.com/amaranthramp/amaranthramp/version/config"
)

// The times of the rows: faultOffset, from the start of the load to the fault, is long enough for all upstreams to
// become warm, and the time after it is long enough that exceeded limits show.
const (
	faultOffset = 2 * time.Second
	shortRun    = 6 * time.Second
	longRun     = 10 * time.Second
	// platformDelay is the delay of each answer of a slow platform.
	platformDelay = 700 * time.Millisecond
)

// The VM, by its number, and the data centres that the faults concern, as the example configuration names them.
const (
	faultyVM                       = 2
	dataCentre    ident.DataCentre = "tunis-2"
	outDataCentre ident.DataCentre = "tunis-3"
)

var (
	faultyUpstreams = []ident.Upstream{"offerbook-2", "allocdesk-2", "cellarnotes-2"}
	// faultyAnswers is the number of faulty answers that each of the faulty upstreams gives.
	faultyAnswers = 5
	// platformLossPercent is the percentage of answers that a lossy platform loses.
	platformLossPercent = 30
)

// Table returns all rows of the table.
func Table() []Row {
	l := []Row{{Name: "Quiet", For: shortRun, TakeOver: true, NoCut: true}}
	l = append(l, killRows()...)
	l = append(l, pauseRows()...)
	l = append(l, platformRows()...)
	l = append(l, upstreamRows()...)
	return append(l, leavingRows()...)
}

// Find returns the row with the given name.
func Find(name string) (Row, bool) {
	for _, r := range Table() {
		if r.Name == name {
			return r, true
		}
	}
	return Row{}, false
}

// killRows returns rows in which processes of a VM are killed.
func killRows() []Row {
	return []Row{
		{Name: "KillEntry", For: longRun, TakeOver: true, Events: vmEvents(schedule.Kill, schedule.Entry)},
		{Name: "KillControl", For: longRun, TakeOver: true, Events: vmEvents(schedule.Kill, schedule.Control)},
		{Name: "KillBoth", For: longRun, TakeOver: true, Events: vmEvents(schedule.Kill, schedule.Both)},
		{
			Name: "KillAndRestart", For: longRun, TakeOver: true,
			Events: append(vmEvents(schedule.Kill, schedule.Both),
				schedule.Event{At: at(faultOffset + time.Second), Kind: schedule.Start, VM: faultyVM}),
		},
	}
}

// pauseRows returns rows in which a lease expires while its holder is suspended.
func pauseRows() []Row {
	var l []Row
	for _, p := range []schedule.Process{schedule.Entry, schedule.Control, schedule.Both} {
		n := "Pause" + string(p)
		if p == schedule.Both {
			n = "PauseBoth"
		}
		l = append(l, Row{
			Name: n, For: longRun, TakeOver: true,
			Events: append(vmEvents(schedule.Pause, p),
				schedule.Event{At: at(faultOffset + 4*time.Second), Kind: schedule.Resume, VM: faultyVM, Process: p}),
		})
	}
	return l
}

// platformRows returns rows in which the platform is unreachable, slow or lossy.
func platformRows() []Row {
	cutAll := everyVM(schedule.Event{At: at(faultOffset), Kind: schedule.Cut})
	slow := everyVM(schedule.Event{Kind: schedule.Spoil, For: at(platformDelay)})
	lossy := everyVM(schedule.Event{Kind: schedule.Spoil, Count: platformLossPercent})
	kill := []schedule.Event{{At: at(faultOffset + time.Second), Kind: schedule.Kill, VM: faultyVM}}
	return []Row{
		{Name: "CutOneFromPlatform", For: longRun, TakeOver: true, Events: vmEvents(schedule.Cut, schedule.Both)},
		{Name: "PlatformGone", For: longRun, TakeOver: true, Events: cutAll},
		{Name: "PlatformSlowAndKill", For: longRun, TakeOver: true, Events: slices.Concat(slow, kill)},
		{Name: "PlatformLossyAndKill", For: longRun, TakeOver: true, Events: slices.Concat(lossy, kill)},
		{
			Name: "PlatformGoneAndKill", For: longRun, TakeOver: true,
			Events: slices.Concat(cutAll, kill),
		},
	}
}

// everyVM returns a copy of the event for each VM.
func everyVM(e schedule.Event) []schedule.Event {
	var l []schedule.Event
	for i := range rowVMs {
		e.VM = i + 1
		l = append(l, e)
	}
	return l
}

// upstreamRows returns rows with faulty upstreams and with an upstream that leaves.
func upstreamRows() []Row {
	return []Row{
		{Name: "Crash", For: shortRun, Events: faultEvents(server.Crash, 0, time.Second)},
		{Name: "ColdAgain", For: shortRun, Events: faultEvents(server.Cold, 0, 0)},
		{Name: "Silence", For: longRun, TakeOver: true, Events: faultEvents(server.Silence, 0, 0)},
		{Name: "Crossed", For: shortRun, Events: faultEvents(server.Cross, faultyAnswers, 0)},
		{Name: "Truncated", For: shortRun, Events: faultEvents(server.Truncate, faultyAnswers, 0)},
		{Name: "Surplus", For: shortRun, Events: faultEvents(server.Surplus, faultyAnswers, 0)},
		{Name: "Late", For: shortRun, Events: faultEvents(server.Late, faultyAnswers, 2*time.Second)},
		{Name: "Shed", For: shortRun, Events: faultEvents(server.Shed, faultyAnswers, 0)},
		{Name: "Straggle", For: shortRun, Events: faultEvents(server.Straggle, 0, shortRun)},
		{Name: "Poison", For: longRun, ExtraFault: sendPoison, FewCrashes: true},
		{Name: "UpstreamLeaves", For: longRun, Events: faultEvents(server.Leave, 0, 0)},
	}
}

// leavingRows returns rows in which operators change the configuration, take a data centre out, or stop a VM
// gracefully.
func leavingRows() []Row {
	out := []schedule.Event{
		{At: at(faultOffset), Kind: schedule.Out, DataCentre: outDataCentre},
		{At: at(faultOffset + 5*time.Second), Kind: schedule.In, DataCentre: outDataCentre},
	}
	return []Row{
		{Name: "OperatorsRace", For: longRun, NoCut: true, ExtraFault: raceOperators},
		{Name: "DataCentreOut", For: longRun, NoCut: true, Events: out},
		{
			Name: "DataCentreOutDuringKill", For: longRun,
			Events: slices.Concat(out, vmEvents(schedule.Kill, schedule.Both)),
		},
		{
			Name: "PlannedStop", For: longRun, TakeOver: true, NoCut: true,
			Events: vmEvents(schedule.Stop, schedule.Both),
		},
		{
			Name: "DataCentreOutDuringStop", For: longRun, NoCut: true,
			Events: slices.Concat(out, vmEvents(schedule.Stop, schedule.Both)),
		},
	}
}

// vmEvents returns an event of the given kind at the faulty VM.
func vmEvents(kind string, p schedule.Process) []schedule.Event {
	return []schedule.Event{{At: at(faultOffset), Kind: kind, VM: faultyVM, Process: p}}
}

// faultEvents returns an event that injects a fault into the faulty upstreams.
func faultEvents(k server.Kind, n int, d time.Duration) []schedule.Event {
	return []schedule.Event{{At: at(faultOffset), Kind: string(k), Upstream: faultyUpstreams, Count: n, For: at(d)}}
}

func at(d time.Duration) config.Duration {
	return config.Duration(d)
}
