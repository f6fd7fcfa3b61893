package faults

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// rowLimit is the time limit of one row, including its wait for other rows and for a free network.
const rowLimit = 5 * time.Minute

// The limits of rows that run in parallel.
const (
	// The rows use the loopback networks 127.firstNetwork.0.0/16 to 127.lastNetwork.0.0/16, one row at a time each. Test
	// processes that run at the same time take them from the same range.
	firstNetwork = 52
	lastNetwork  = 59
	// maxParallel is the number of rows that run in parallel; more would overload the few cores of a test machine.
	maxParallel = 3
	// reservePause is the pause before all networks are tried again.
	reservePause = 200 * time.Millisecond
)

var (
	binaries string
	rowSlots = make(chan struct{}, maxParallel)
)

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs that the rows start, and runs the tests.
func buildAndRun(m *testing.M) int {
	d, err := os.MkdirTemp("", "amaranthramp-faults")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(d) }()
	binaries = d
	c := exec.Command("go", "build", "-o", d+string(filepath.Separator), "./cmd/...")
	c.Dir = filepath.Join("..", "..")
	if b, err := c.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, b)
		return 1
	}
	return m.Run()
}

// Each row with the same verdict on every run has its own test, so that a failing one can be listed by name.

func TestKillBoth(t *testing.T)                { runRow(t, "KillBoth") }
func TestKillAndRestart(t *testing.T)          { runRow(t, "KillAndRestart") }
func TestPauseEntry(t *testing.T)              { runRow(t, "PauseEntry") }
func TestPauseBoth(t *testing.T)               { runRow(t, "PauseBoth") }
func TestPlatformGoneAndKill(t *testing.T)     { runRow(t, "PlatformGoneAndKill") }
func TestCrash(t *testing.T)                   { runRow(t, "Crash") }
func TestColdAgain(t *testing.T)               { runRow(t, "ColdAgain") }
func TestSilence(t *testing.T)                 { runRow(t, "Silence") }
func TestCrossed(t *testing.T)                 { runRow(t, "Crossed") }
func TestTruncated(t *testing.T)               { runRow(t, "Truncated") }
func TestUpstreamLeaves(t *testing.T)          { runRow(t, "UpstreamLeaves") }
func TestDataCentreOutDuringKill(t *testing.T) { runRow(t, "DataCentreOutDuringKill") }
func TestPlannedStop(t *testing.T)             { runRow(t, "PlannedStop") }

// runRow runs one row of the table as a parallel test.
func runRow(t *testing.T, name string) {
	t.Parallel()
	rowSlots <- struct{}{}
	defer func() { <-rowSlots }()
	r, ok := Find(name)
	if !ok {
		t.Fatalf("the table has no row %q", name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), rowLimit)
	defer cancel()
	_, failedChecks, err := r.Run(ctx, Environment{
		Binaries: binaries, Configuration: filepath.Join("..", "..", "examples", "cepage", "configuration.toml"),
		Work: t.TempDir(), Network: reserveNetwork(t), Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range failedChecks {
		t.Error(s)
	}
}

// reserveNetwork waits for a network that no other row uses, and reserves it by listening on a port of it.
func reserveNetwork(t *testing.T) int {
	t.Helper()
	for end := time.Now().Add(rowLimit); time.Now().Before(end); time.Sleep(reservePause) {
		for n := firstNetwork; n <= lastNetwork; n++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.9.9:9999", n))
			if err != nil {
				continue
			}
			t.Cleanup(func() { _ = l.Close() })
			return n
		}
	}
	t.Fatalf("all loopback networks from 127.%d to 127.%d stayed in use for %s", firstNetwork, lastNetwork, rowLimit)
	return 0
}
