package exchange

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/request/call"
)

// TestReadBody checks that bodies of any size are read whole, in whatever pieces they arrive, and that the budget is
// free again afterwards.
func TestReadBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBodyBudget(2 * call.MaxBody)
		small, large := rapid.IntRange(0, 3*int(unbudgetedBody)), rapid.IntRange(call.MaxBody-2, call.MaxBody+5)
		n := rapid.OneOf(small, large).Draw(t, "size")
		want := bytes.Repeat([]byte("body"), n/4+1)[:n]
		var r io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "halves") {
			r = iotest.HalfReader(r)
		}
		if rapid.Bool().Draw(t, "data with EOF") {
			r = iotest.DataErrReader(r)
		}
		got, err := b.readBody(r)
		if err != nil || !bytes.Equal(got, want[:min(n, call.MaxBody+1)]) {
			t.Fatalf("read %d bytes, error %v, want %d", len(got), err, min(n, call.MaxBody+1))
		}
		if b.used != 0 {
			t.Fatalf("%d bytes of the budget are still used, want none", b.used)
		}
	})
}

// TestBodyBudget checks that bodies which are read at the same time don't exceed the budget, and that small ones need
// none of it.
func TestBodyBudget(t *testing.T) {
	const limit = 4 * unbudgetedBody
	b := NewBodyBudget(limit)
	large := strings.Repeat("x", int(3*unbudgetedBody))
	first, release := io.Pipe()
	done := make(chan error)
	go func() {
		_, err := b.readBody(first)
		done <- err
	}()
	if _, err := io.WriteString(release, large); err != nil {
		t.Fatal(err)
	}
	if _, err := b.readBody(strings.NewReader(large)); !errors.Is(err, errBodyBudget) {
		t.Errorf("error %v while another body uses the budget, want %v", err, errBodyBudget)
	}
	if _, err := b.readBody(strings.NewReader(large[:unbudgetedBody-1])); err != nil {
		t.Errorf("error %v for a small body, want none", err)
	}
	if b.used > limit {
		t.Errorf("%d bytes used, want at most %d", b.used, limit)
	}
	_ = release.Close()
	if err := <-done; err != nil {
		t.Errorf("error %v for the first body, want none", err)
	}
	if _, err := b.readBody(strings.NewReader(large)); err != nil {
		t.Errorf("error %v after the budget is free again, want none", err)
	}
}
