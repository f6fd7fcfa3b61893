package team

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/ident"
)

func digests(keys ...string) []Digest {
	var l []Digest
	for _, k := range keys {
		l = append(l, DigestOf(k))
	}
	return l
}

// TestNewFindings checks that all errors of a list of teams are reported together, that none of them holds a key, and
// that the rest can be used. A key in two teams would give one team's requests to the other.
func TestNewFindings(t *testing.T) {
	d, err := New([]Team{
		{Name: "a", Keys: digests("key-1", "")},
		{Name: "b", Keys: digests("key-2", "key-1"), Rate: -1},
		{Name: "a", Burst: -2, Keys: digests("key-3", "key-1")},
		{Name: "", Priority: -1, Keys: digests("key-4")},
		{Name: "x\r\nHost: y"},
	})
	if err == nil {
		t.Fatal("invalid teams were accepted, want an error")
	}
	for _, w := range []string{
		`team 1 ("a"): API key 2 is empty`, `team 2 ("b"): API key 2 is also a key of team 1 ("a")`,
		`team 2 ("b"): rate is -1`, `team 3: name "a" is that of team 1`, `team 3 ("a"): burst is -2`,
		"team 4: name is missing", `team 4 (""): priority is -1`, "has control characters",
	} {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("error does not contain %q:\n%v", w, err)
		}
	}
	for key, want := range map[string]ident.Team{"key-1": "a", "key-2": "b", "key-3": "a", "key-4": "", "": ""} {
		if m, ok := d.Find(key); ok != (want != "") || ok && (m.Name != want || m.Rate < 0 || m.Burst < 0) {
			t.Errorf("key %q belongs to %+v, want team %q", key, m, want)
		}
	}
	if d.Size() != 2 {
		t.Errorf("%d teams, want 2", d.Size())
	}
	if strings.Contains(err.Error(), "key-1") || strings.Contains(err.Error(), DigestOf("key-1").String()) {
		t.Errorf("error contains a key or its digest:\n%v", err)
	}
}

// TestNewAccepts checks that a team without keys, whose callers have all been locked out, and a key that is listed
// twice in one team do not make a configuration invalid.
func TestNewAccepts(t *testing.T) {
	d, err := New([]Team{{Name: "b", Keys: digests("k", "k"), Rate: 3}, {Name: "a"}})
	if err != nil {
		t.Fatal(err)
	}
	if m, ok := d.Find("k"); !ok || m.Name != "b" || m.Rate != 3 || d.Size() != 2 {
		t.Errorf("key k: team %+v of %d, want b of 2", m, d.Size())
	}
	if m, ok := d.Named("a"); !ok || m.Name != "a" {
		t.Errorf("team a: %+v, want it found", m)
	}
	if _, ok := d.Named("c"); ok {
		t.Error("team c was found, want none")
	}
}

// TestFind compares look-ups of random keys in random teams with a search through the list of keys.
func TestFind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owner := map[string]ident.Team{}
		var teams []Team
		for i := range rapid.IntRange(0, 5).Draw(t, "teams") {
			m := Team{Name: ident.Team(fmt.Sprint("t", i))}
			for _, k := range rapid.SliceOfN(rapid.StringMatching("[ab]{1,3}"), 0, 3).Draw(t, "keys") {
				if _, taken := owner[k]; taken {
					continue
				}
				owner[k] = m.Name
				m.Keys = append(m.Keys, DigestOf(k))
			}
			teams = append(teams, m)
		}
		d, err := New(teams)
		if err != nil {
			t.Fatal(err)
		}
		k := rapid.StringMatching("[ab]{0,4}").Draw(t, "key")
		want, ok := owner[k]
		if m, found := d.Find(k); found != ok || found && m.Name != want {
			t.Fatalf("key %q: %+v, found %t, want %q, %t", k, m, found, want, ok)
		}
	})
}

// TestMemory checks the memory of a directory of the usual size and of a large one, since a VM may have only 136 MB.
func TestMemory(t *testing.T) {
	for _, r := range []struct{ teams, most int }{{80, 32 << 10}, {5000, 2 << 20}} {
		before := liveHeap()
		d := newDirectory(t, r.teams)
		used := int64(liveHeap()) - int64(before)
		t.Logf("%d teams with two keys each: %d bytes", r.teams, used)
		if used > int64(r.most) {
			t.Errorf("%d teams take %d bytes, want at most %d", r.teams, used, r.most)
		}
		runtime.KeepAlive(d)
	}
}

// newDirectory returns a directory of teams with two keys each.
func newDirectory(t testing.TB, size int) *Directory {
	t.Helper()
	var teams []Team
	for i := range size {
		teams = append(teams, Team{
			Name: ident.Team(fmt.Sprintf("team-%04d", i)), Keys: digests(fmt.Sprint("a", i), fmt.Sprint("b", i)),
		})
	}
	d, err := New(teams)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkFind measures a look-up among 5,000 teams.
func BenchmarkFind(b *testing.B) {
	d := newDirectory(b, 5000)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := d.Find("a4999"); !ok {
			b.Fatal("key not found")
		}
	}
}
