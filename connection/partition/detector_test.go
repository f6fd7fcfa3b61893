package partition

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

func count(targets int) func() int { return func() int { return targets } }

// TestPartitioned checks when a VM counts as partitioned. In the contacts, a letter is a failed contact with that
// target that began at this step, an exclamation mark is a response, and a digit n a contact with target n that began
// before the last response and fails now.
func TestPartitioned(t *testing.T) {
	rows := []struct {
		name, contacts string
		targets        int
		want           bool
	}{
		{"nothing known", "", 8, false},
		{"one target has crashed", "aaaa", 8, false},
		{"three targets silent", "abc", 8, true},
		{"all of two targets silent", "ab", 2, true},
		{"response in between", "ab!c", 8, false},
		{"response at last", "abc!", 8, false},
		{"silent again", "abc!abc", 8, true},
		{"slow failures of contacts from before a response", "!123", 8, false},
		{"no targets", "abc", 0, false},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			c := clock.NewFake()
			d := New()
			c.Advance(time.Second)
			before := c.Now()
			for _, e := range r.contacts {
				c.Advance(time.Millisecond)
				switch {
				case e == '!':
					d.Answered("s", c.Now())
				case e >= '0' && e <= '9':
					d.Failed("s", ident.Target(e), before)
				default:
					d.Failed("s", ident.Target(e), c.Now())
				}
			}
			if got := d.Partitioned("s", count(r.targets)); got != r.want {
				t.Errorf("partitioned %t, want %t", got, r.want)
			}
		})
	}
}

// TestPartitionedWithOtherService checks that a service without contacts counts as partitioned while another one is
// silent, and not if it has responded since.
func TestPartitionedWithOtherService(t *testing.T) {
	c := clock.NewFake()
	d := New()
	c.Advance(time.Second)
	d.Answered("idle", c.Now())
	d.Answered("busy", c.Now())
	c.Advance(time.Second)
	for _, g := range []ident.Target{"a", "b", "c"} {
		d.Failed("busy", g, c.Now())
	}
	if !d.Partitioned("idle", count(8)) {
		t.Error("idle service not partitioned, want it to be with the busy one")
	}
	c.Advance(time.Second)
	d.Answered("idle", c.Now())
	if d.Partitioned("idle", count(8)) || !d.Partitioned("busy", count(8)) {
		t.Error("want the idle service reached again and the busy one partitioned")
	}
}

// TestPartitionedRandomly checks against the whole history of contacts that a VM is partitioned exactly if at least
// three targets have failed in contacts that began after the last response.
func TestPartitionedRandomly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake()
		d := New()
		lastAnswer := clock.Instant(0)
		silent := map[ident.Target]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "contacts") {
			c.Advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				lastAnswer = c.Now()
				clear(silent)
				d.Answered("s", c.Now())
			} else {
				began := c.Now().Add(-time.Duration(rapid.IntRange(0, 300).Draw(t, "took")) * time.Millisecond)
				g := ident.Target(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "target")))
				if began >= lastAnswer {
					silent[g] = true
				}
				d.Failed("s", g, began)
			}
			if got, want := d.Partitioned("s", count(6)), len(silent) >= minSilentTargets; got != want {
				t.Fatalf("partitioned %t with %d silent targets, want %t", got, len(silent), want)
			}
		}
	})
}
