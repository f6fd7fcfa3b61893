// Command harness runs one case of the review: it starts gateways as the deploy file does, with stand-ins for the
// platform's store, the targets and the consumers, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs, well within the 120 s that a script may take.
const caseTimeout = 100 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases holds the function of each case; trouble is false for the run without the disruption.
var cases = map[string]func(e *env, trouble bool) (verdict, error){
	"memory":   runMemory,
	"shed":     runFailingTargets,
	"headers":  runHeaderLimit,
	"deadly":   runDeadly,
	"regained": runRegained,
	"stale":    runStale,
	"teams":    runTeams,
	"leave":    runPipelinedLeave,
	"slash":    runEncodedSlash,
	"stop":     runStop,
	"fraction": runFraction,
	"exposure": runExposure,
	"caller":   runCallers,
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return exitNotRun
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "harness: no case %q\n", os.Args[1])
		return exitNotRun
	}
	path, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	}
	e, err := newEnv(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	}
	defer e.close()
	trouble := os.Getenv("TROUBLE") != "0"
	e.record("case %s, with the disruption: %t", os.Args[1], trouble)
	done := make(chan int, 1)
	go func() { done <- e.judge(c, trouble) }()
	select {
	case code := <-done:
		return code
	case <-time.After(caseTimeout):
		e.record("not run: the case took longer than %s", caseTimeout)
		return exitNotRun
	}
}

// judge runs the case and records its result.
func (e *env) judge(c func(e *env, trouble bool) (verdict, error), trouble bool) int {
	v, err := c(e, trouble)
	if err != nil {
		e.record("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	code, word := exitHeld, "held"
	if v.broken {
		code, word = exitBroken, "BROKEN"
	}
	e.record("rule %s: %s", word, v.text)
	fmt.Printf("rule %s: %s\n", word, v.text)
	return code
}
