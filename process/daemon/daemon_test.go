package daemon

import (
	"context"
	"io"
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
