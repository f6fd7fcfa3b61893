package queue

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/process/clock"
)

// TestQueueMatchesModel compares the queue with a plain list: no request is lost, duplicated or reordered within its
// class, and none is started too late for an answer before its deadline.
func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := clock.NewFake()
		q := New(f.Now())
		var model []*Item
		latest := map[*Item]clock.Instant{}
		drop := func(i *Item) {
			for n, m := range model {
				if m == i {
					model = append(model[:n:n], model[n+1:]...)
					return
				}
			}
			t.Fatalf("queue returned %+v, want one of the waiting items", i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				w := rapid.SampledFrom([]ident.Weight{1, 2, 8}).Draw(t, "weight")
				d := time.Duration(rapid.IntRange(0, 200).Draw(t, "deadline")) * time.Millisecond
				i := NewItem(ident.Class(rune('a'+w)), w, f.Now().Add(d))
				c := Capacity{Slots: rapid.IntRange(0, 4).Draw(t, "slots"), ServiceTime: 5 * time.Millisecond}
				wait, ok := q.Admit(f.Now(), i, c)
				latest[i] = f.Now().Add(max(d-15*time.Millisecond, d/2))
				if ok && f.Now().Add(wait) >= latest[i] {
					t.Fatalf("admitted a request due in %v with an estimated wait of %v, want it refused", d, wait)
				}
				if ok {
					model = append(model, i)
				}
			},
			"pop": func(t *rapid.T) {
				i, l := q.Pop(f.Now())
				for _, e := range l {
					if latest[e] > f.Now() {
						t.Fatalf("dropped an item that could still be answered in time: %+v", e)
					}
					drop(e)
				}
				if i == nil {
					return
				}
				if latest[i] <= f.Now() {
					t.Fatalf("started an item that can no longer be answered in time: %+v", i)
				}
				drop(i)
				for _, m := range model {
					if m.Class == i.Class && m.seq < i.seq {
						t.Fatalf("item %d started before item %d of the same class, want order of arrival", i.seq, m.seq)
					}
				}
			},
			"cancel": func(t *rapid.T) {
				if len(model) == 0 {
					return
				}
				i := rapid.SampledFrom(model).Draw(t, "item")
				if !q.Remove(f.Now(), i) || q.Remove(f.Now(), i) {
					t.Fatal("Remove of a waiting item failed or succeeded twice, want exactly one success")
				}
				drop(i)
			},
			"pass": func(t *rapid.T) {
				f.Advance(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if q.Len() != len(model) {
					t.Fatalf("%d items in the queue, want %d", q.Len(), len(model))
				}
			},
		})
	})
}

// TestQueueSaturated offers requests at twice the capacity: the class with the large weight is served in full and the
// other one gets the remaining capacity.
func TestQueueSaturated(t *testing.T) {
	f := clock.NewFake()
	q := New(f.Now())
	c := Capacity{Slots: 1, ServiceTime: 4 * time.Millisecond}
	offered, served := map[ident.Class]int{}, map[ident.Class]int{}
	longest := 0
	for n := range 8000 {
		k, w := ident.Class("light"), ident.Weight(1)
		if n%4 == 0 {
			k, w = "heavy", 8
		}
		offered[k]++
		q.Admit(f.Now(), NewItem(k, w, f.Now().Add(time.Second)), c)
		f.Advance(2 * time.Millisecond)
		longest = max(longest, q.Len())
		if n%2 == 1 {
			if i, _ := q.Pop(f.Now()); i != nil {
				served[i.Class]++
			}
		}
	}
	if served["heavy"] < offered["heavy"]*99/100 {
		t.Errorf("served %d of %d requests of the heavy class, want at least 99%%", served["heavy"], offered["heavy"])
	}
	if served["light"] < offered["light"]/4 {
		t.Errorf("served %d of %d requests of the light class, want at least 25%%", served["light"], offered["light"])
	}
	// An initial burst may fill the queue, but a lasting overload must not keep it full.
	if l := q.Len(); l > 2*overloadWaitServiceTimes {
		t.Errorf("%d requests in the queue at the end, want at most %d; the longest queue was %d",
			l, 2*overloadWaitServiceTimes, longest)
	}
}

// TestQueueFairOrder checks that requests of the class with the large weight overtake earlier requests of the other
// class without starving it.
func TestQueueFairOrder(t *testing.T) {
	f := clock.NewFake()
	q := New(f.Now())
	c := Capacity{Slots: 4, ServiceTime: time.Millisecond}
	for range 10 {
		q.Admit(f.Now(), NewItem("light", 1, f.Now().Add(time.Second)), c)
	}
	for range 20 {
		q.Admit(f.Now(), NewItem("heavy", 8, f.Now().Add(time.Second)), c)
	}
	got := ""
	for i, _ := q.Pop(f.Now()); i != nil; i, _ = q.Pop(f.Now()) {
		got += string(i.Class[:1])
	}
	if want := "hhhhhhhlhhhhhhhhlhhhhhllllllll"; got != want {
		t.Errorf("order %s, want %s", got, want)
	}
}
