package patch_test

import (
	"context"
	"errors"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/process/platform"
	"github.com/amaranthramp/amaranthramp/standin/store"
)

var errResponseLost = errors.New("answer lost")

// faultyStore is a store between which and its client things go wrong, as drawn by a test.
type faultyStore struct {
	*store.Local
	t *rapid.T
	// down fails every call before it takes effect.
	down bool
	// faults is how many calls of the current step may still go wrong.
	faults int
	// delayed are writes whose answer was lost and that still have to take effect.
	delayed []platform.Object
	// beforePut runs before a call, once, as if another operator were faster.
	beforePut func()
}

func (f *faultyStore) Get(ctx context.Context, name string) (platform.Object, error) {
	if f.drawFault("get") != "" {
		return platform.Object{}, errResponseLost
	}
	return f.Local.Get(ctx, name)
}

func (f *faultyStore) Put(ctx context.Context, o platform.Object) (platform.Revision, error) {
	if r := f.beforePut; r != nil {
		f.beforePut = nil
		r()
	}
	switch f.drawFault("put") {
	case "before":
		return 0, errResponseLost
	case "after":
		_, _ = f.Local.Put(ctx, o)
		return 0, errResponseLost
	case "late":
		f.delayed = append(f.delayed, o)
		return 0, errResponseLost
	}
	return f.Local.Put(ctx, o)
}

// applyDelayed lets the late writes take effect.
func (f *faultyStore) applyDelayed(ctx context.Context) {
	for _, o := range f.delayed {
		_, _ = f.Local.Put(ctx, o)
	}
	f.delayed = nil
}

func (f *faultyStore) drawFault(call string) string {
	if f.down {
		return "before"
	}
	if f.faults == 0 {
		return ""
	}
	f.faults--
	return rapid.SampledFrom([]string{"", "before", "after", "late"}).Draw(f.t, call)
}

func (f *faultyStore) Watch(context.Context, string, platform.Revision, time.Duration) (platform.Object, error) {
	return platform.Object{}, errResponseLost
}
