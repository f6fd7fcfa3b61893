package document

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// propagationLimit is the time within which a change must be in force on all VMs; reading the file is one part of it.
const propagationLimit = 6 * time.Second

// TestLargeFile reads a file of 16,000 upstreams. It guards against a lookup of positions that scans the file for each
// key, which takes minutes.
func TestLargeFile(t *testing.T) {
	type upstream struct {
		Name    string
		Address string
	}
	var v struct{ Upstream []upstream }
	var b strings.Builder
	for i := range 16_000 {
		fmt.Fprintf(&b, "[[Upstream]]\nName = \"u%d\"\nAddress = \"127.0.0.1:9000\"\n\n", i)
	}
	start := time.Now()
	d, l := Read("big.toml", []byte(b.String()), &v)
	if e := time.Since(start); e > propagationLimit {
		t.Errorf("read in %s, want at most %s", e, propagationLimit)
	}
	if len(l) > 0 || len(v.Upstream) != 16_000 {
		t.Fatalf("read %d upstreams with findings %v, want 16000 without findings", len(v.Upstream), l)
	}
	if p := d.Place("Upstream[15999].Address"); p.Line != 16_000*4-1 || p.Column != 1 {
		t.Errorf("position of the last address = %+v, want line %d, column 1", p, 16_000*4-1)
	}
}
