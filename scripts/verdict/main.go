// Command verdict reads the output of go test -json and prints the result and the name of each test, one per line.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
)

// modulePrefix is removed from package paths.
const modulePrefix = "github.com/amaranthramp/amaranthramp/"

// maxLineBytes is the maximum length of a line of the test output.
const maxLineBytes = 16 << 20

// event is one line of the output of go test -json.
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

func main() {
	output := flag.Bool("output", false, "print the output of failed tests and packages instead")
	flag.Parse()
	if err := run(os.Stdin, os.Stdout, *output); err != nil {
		fmt.Fprintf(os.Stderr, "verdict: %v\n", err)
		os.Exit(1)
	}
}

// run reports top-level tests only, and a package itself if it failed although none of its tests did.
func run(r io.Reader, w io.Writer, output bool) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	text := map[string]*strings.Builder{}
	failed := map[string]bool{}
	for s.Scan() {
		var e event
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			return fmt.Errorf("read test output: %w", err)
		}
		e.process(w, text, failed, output)
	}
	return s.Err()
}

// process collects the output of a test or package and reports it when it has passed or failed.
func (e *event) process(w io.Writer, text map[string]*strings.Builder, failed map[string]bool, output bool) {
	p := strings.TrimPrefix(e.Package+e.ImportPath, modulePrefix)
	root, _, _ := strings.Cut(e.Test, "/")
	name := p + "." + root
	if text[name] == nil {
		text[name] = &strings.Builder{}
	}
	switch e.Action {
	case "output", "build-output":
		text[name].WriteString(e.Output)
	case "pass", "fail", "build-fail":
		if e.Test != root || (e.Test == "" && (e.Action == "pass" || failed[p])) {
			return
		}
		e.report(w, name, text[name].String(), output)
		failed[p] = failed[p] || e.Action != "pass"
	}
}

// report prints the result of a test or package or, if output is set, the output of a failed one.
func (e *event) report(w io.Writer, name, text string, output bool) {
	result := strings.TrimPrefix(e.Action, "build-")
	if !output {
		_, _ = fmt.Fprintln(w, result, name)
		return
	}
	if result == "fail" {
		_, _ = fmt.Fprintf(w, "--- %s\n%s", name, text)
	}
}
