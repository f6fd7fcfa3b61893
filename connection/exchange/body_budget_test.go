package exchange

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/call"
)

// TestReadBody checks that bodies of any size, of known length and unknown, are read whole, in whatever pieces they
// arrive, that those beyond the limit are refused, and that the budget is free again once the account is closed.
func TestReadBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBodyBudget(3 * call.MaxBody)
		small, large := rapid.IntRange(0, 3*SmallBody), rapid.IntRange(call.MaxBody-2, call.MaxBody+5)
		n := rapid.OneOf(small, large).Draw(t, "size")
		want := bytes.Repeat([]byte("body"), n/4+1)[:n]
		var r io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "halves") {
			r = iotest.HalfReader(r)
		}
		if rapid.Bool().Draw(t, "data with EOF") {
			r = iotest.DataErrReader(r)
		}
		length := int64(n)
		if rapid.Bool().Draw(t, "unknown length") {
			length = -1
		}
		a := b.Open()
		got, err := a.ReadRequest(r, length, call.MaxBody)
		if tooLarge := n > call.MaxBody; tooLarge != errors.Is(err, ErrBodyTooLarge) || !tooLarge && err != nil {
			t.Fatalf("error %v for %d bytes", err, n)
		}
		if err == nil && !bytes.Equal(got, want) {
			t.Fatalf("read %d bytes, want %d", len(got), n)
		}
		if most := 2*ident.Bytes(n) + SmallBody; b.used.total() > most {
			t.Fatalf("%d bytes held for a body of %d, want at most %d", b.used.total(), n, most)
		}
		a.Close()
		if b.used.total() != 0 {
			t.Fatalf("%d bytes of the budget are still used, want none", b.used.total())
		}
	})
}

// TestKnownLengthTakesItsSize checks that a body of known length takes a buffer of that size and no more, also if it
// ends early.
func TestKnownLengthTakesItsSize(t *testing.T) {
	const n = 5*SmallBody + 3
	b := NewBodyBudget(100 * SmallBody)
	a := b.Open()
	got, err := a.ReadRequest(strings.NewReader(strings.Repeat("x", n)), n, 2*n)
	if err != nil || cap(got) != n || b.used.total() != n {
		t.Errorf("error %v, buffer of %d bytes, %d used, want %d", err, cap(got), b.used.total(), n)
	}
	if _, err := a.ReadRequest(strings.NewReader("short"), n, 2*n); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v for a body that ends early, want %v", err, io.ErrUnexpectedEOF)
	}
	if b.used.total() != n {
		t.Errorf("%d bytes used after a body that ended early, want %d", b.used.total(), n)
	}
}

// TestBodyBudget checks that bodies which are held at the same time don't exceed the budget, that a large body finds no
// room without a byte of it being read, that small ones and responses find room beside large requests, and that a body
// that can never find room gets another error.
func TestBodyBudget(t *testing.T) {
	const limit = 100 * SmallBody
	b := NewBodyBudget(limit)
	first := b.Open()
	if _, err := first.ReadRequest(bytes.NewReader(make([]byte, 50*SmallBody)), 50*SmallBody, limit); err != nil {
		t.Fatal(err)
	}
	a := b.Open()
	defer a.Close()
	unread := strings.NewReader(strings.Repeat("x", 40*SmallBody))
	if _, err := a.ReadRequest(unread, int64(unread.Len()), limit); !errors.Is(err, ErrNoRoom) {
		t.Errorf("error %v while another body uses the budget, want %v", err, ErrNoRoom)
	}
	if unread.Len() != 40*SmallBody {
		t.Errorf("%d bytes are left of a body without room, want all", unread.Len())
	}
	if _, err := a.ReadRequest(unread, -1, limit); !errors.Is(err, ErrNoRoom) {
		t.Errorf("error %v for a body of unknown length, want %v", err, ErrNoRoom)
	}
	if _, err := a.ReadRequest(nil, 90*SmallBody, limit); !errors.Is(err, ErrBodyTooLarge) {
		t.Errorf("error %v for a body that can never find room, want %v", err, ErrBodyTooLarge)
	}
	if _, err := a.ReadResponse(bytes.NewReader(make([]byte, 40*SmallBody)), 40*SmallBody); err != nil {
		t.Errorf("error %v for a response beside a large request, want none", err)
	}
	if _, err := a.ReadRequest(bytes.NewReader(make([]byte, SmallBody)), SmallBody, limit); err != nil {
		t.Errorf("error %v for a small body, want none", err)
	}
	first.Close()
	if _, err := a.ReadRequest(bytes.NewReader(make([]byte, 20*SmallBody)), -1, 20*SmallBody); err != nil {
		t.Errorf("error %v after the budget is free again, want none", err)
	}
}

// TestLargestBodyFits checks that the largest body that isn't refused for good finds room in an empty budget, whether
// its length is known or not.
func TestLargestBodyFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBodyBudget(ident.Bytes(rapid.IntRange(1, 16<<20).Draw(t, "budget")))
		r := bytes.NewReader(make([]byte, 20<<20))
		a := b.Open()
		defer a.Close()
		if _, err := a.ReadRequest(r, -1, 18<<20); !errors.Is(err, ErrBodyTooLarge) {
			t.Fatalf("error %v for an endless body, want %v", err, ErrBodyTooLarge)
		}
		n := b.largest(requestBody)
		if _, err := a.ReadRequest(bytes.NewReader(make([]byte, n)), int64(n), 18<<20); err != nil {
			t.Fatalf("error %v for %d bytes in a budget of %d, want none", err, n, b.limit)
		}
	})
}

// TestCollects checks that the memory of large bodies counts until it has been collected, and that garbage is collected
// only if that gives a body its room.
func TestCollects(t *testing.T) {
	const limit = 100 * SmallBody
	b := NewBodyBudget(limit)
	collected := 0
	b.collect = func() { collected++ }
	read := func(n int) error {
		a := b.Open()
		defer a.Close()
		_, err := a.ReadRequest(bytes.NewReader(make([]byte, n)), int64(n), limit)
		return err
	}
	for _, r := range []struct {
		size, collected int
	}{
		{40 * SmallBody, 0}, {30 * SmallBody, 0}, {20 * SmallBody, 1}, {SmallBody, 1}, {90 * SmallBody, 1},
		{70 * SmallBody, 2},
	} {
		if err := read(r.size); (err != nil) != (r.size == 90*SmallBody) || collected != r.collected {
			t.Errorf("body of %d: error %v, collected %d times, want %d", r.size, err, collected, r.collected)
		}
	}
}

// brokenReader fails or panics after the bytes of its reader.
type brokenReader struct {
	io.Reader
	panics bool
}

var errBroken = errors.New("broken")

func (r *brokenReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if errors.Is(err, io.EOF) {
		if r.panics {
			panic(errBroken)
		}
		return n, errBroken
	}
	return n, err
}

// TestBudgetNeverExceeded checks, for bodies that are read at the same time and end in any way, that no more than the
// budget is ever held or waits to be collected, and that all of it is free at the end.
func TestBudgetNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBodyBudget(ident.Bytes(rapid.IntRange(0, 4<<20).Draw(t, "limit")))
		check := func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			if u := b.used.total(); b.limit > 0 && u+b.freed > b.limit {
				t.Errorf("%d bytes used and %d freed of %d", u, b.freed, b.limit)
			}
		}
		b.collect = check
		var w sync.WaitGroup
		for range rapid.IntRange(1, 6).Draw(t, "accounts") {
			var steps []func(*BodyAccount)
			for range rapid.IntRange(1, 4).Draw(t, "bodies") {
				steps = append(steps, drawRead(t))
			}
			w.Go(func() {
				defer check()
				defer func() { _ = recover() }()
				a := b.Open()
				defer a.Close()
				for _, f := range steps {
					f(a)
					check()
				}
			})
		}
		w.Wait()
		if b.used != (bodyMemory{}) {
			t.Errorf("%+v used at the end, want nothing", b.used)
		}
	})
}

// drawRead draws the reading of one body.
func drawRead(t *rapid.T) func(*BodyAccount) {
	n := rapid.OneOf(rapid.IntRange(0, 2*SmallBody), rapid.IntRange(0, 3<<20)).Draw(t, "size")
	length := int64(rapid.SampledFrom([]int{n, n + 1, -1}).Draw(t, "length"))
	response := rapid.Bool().Draw(t, "response")
	var r io.Reader = bytes.NewReader(make([]byte, n))
	if rapid.Bool().Draw(t, "broken") {
		r = &brokenReader{Reader: r, panics: rapid.Bool().Draw(t, "panics")}
	}
	return func(a *BodyAccount) {
		if response {
			_, _ = a.ReadResponse(r, length)
		} else {
			_, _ = a.ReadRequest(r, length, 2<<20)
		}
	}
}
