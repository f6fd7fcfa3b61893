package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// TestSoak runs a short soak by a fixed seed, and each seed that ever failed.
func TestSoak(t *testing.T) {
	binaries := t.TempDir()
	b := exec.Command("go", "build", "-race", "-o", filepath.Join(binaries, "amaranthramp-gateway"),
		"../../cmd/amaranthramp-gateway")
	if out, err := b.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	rows := []struct {
		seed uint64
		// cause is why the seed failed once.
		cause string
	}{
		{1, "none: the short run of each CI"},
	}
	for _, r := range rows {
		result, err := Run(context.Background(), &Options{
			Binaries: binaries, Work: t.TempDir(), Network: 250, VMs: 3, Callers: 6, Seed: r.seed, For: 8 * time.Second,
		}, t.Output())
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d (%s): %d requests, %d answered", r.seed, r.cause, result.Requests, result.Answered)
		for _, v := range result.Violations {
			t.Errorf("seed %d: %s", r.seed, v)
		}
		if result.Answered*2 < result.Requests {
			t.Errorf("seed %d: %d of %d requests were answered", r.seed, result.Answered, result.Requests)
		}
	}
}
