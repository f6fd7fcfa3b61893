package daemon

import (
	"context"
	"errors"
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// TestReloadDuringStart guards against a SIGHUP that ends a program before it handles the signal.
func TestReloadDuringStart(t *testing.T) {
	load := func(string) (string, error) {
		err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP)
		// The signal would end the process of the test within this time.
		time.Sleep(50 * time.Millisecond)
		return "settings", err
	}
	ran := false
	run := func(context.Context, string) error {
		ran = true
		return nil
	}
	if c := Start("program", nil, io.Discard, "file", load, run); c != 0 || !ran {
		t.Errorf("exit code %d, ran %t, want 0 and true", c, ran)
	}
}

// TestLogReaderEnds guards against a program that ends, with all requests in flight, when the reader of its standard
// output ends.
func TestLogReaderEnds(t *testing.T) {
	const child = "DAEMON_TEST_CHILD"
	if os.Getenv(child) != "" {
		load := func(string) (string, error) { return "settings", nil }
		run := func(context.Context, string) error {
			_, err := os.Stdout.WriteString("line\n")
			if err == nil {
				return errors.New("write to the closed pipe succeeded")
			}
			return nil
		}
		os.Exit(Start("program", nil, io.Discard, "file", load, run))
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	c := exec.Command(os.Args[0], "-test.run=TestLogReaderEnds$")
	c.Env, c.Stdout = append(os.Environ(), child+"=1"), w
	if err := errors.Join(r.Close(), c.Start(), w.Close()); err != nil {
		t.Fatal(err)
	}
	if err := c.Wait(); err != nil {
		t.Errorf("program ended with %v, want exit code 0", err)
	}
}
