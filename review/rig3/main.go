package main

import (
	"fmt"
	"os"
)

// The exit codes of a case, as the issue sets them.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// result is whether the rule of a case was broken.
type result bool

// cases are the scripted cases by name. trouble is false if the case runs without its disruption.
var cases = map[string]func(w *world, trouble bool) (result, error){
	"evacuated": evacuated,
	"keys":      keysTaken,
	"leaving":   leaving,
	"lost":      machinesLost,
	"weights":   weights,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	w, err := newWorld(r)
	if err != nil {
		r.say("could not run: %v", err)
		return exitNotRun
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, trouble %t", args[0], trouble)
	broken, err := cases[args[0]](w, trouble)
	switch {
	case err != nil:
		r.say("could not run: %v", err)
		return exitNotRun
	case bool(broken):
		r.say("the rule was broken")
		return exitBroken
	default:
		r.say("the rule held")
		return exitHeld
	}
}
