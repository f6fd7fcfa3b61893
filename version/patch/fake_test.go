package patch_test

import (
	"context"
	"errors"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthramp/amaranthramp/process/platform"
	"github.com/amaranthramp/amaranthramp/standin/store"
)

var errResponseLost = errors.New("response lost")

// faultyStore injects faults that a test draws into the calls of a store.
type faultyStore struct {
	*store.Local
	t *rapid.T
	// down makes every call fail before it takes effect.
	down bool
	// faults is the number of calls in the current step for which a fault may still be drawn.
	faults int
	// delayed holds writes whose response was lost and that are still to take effect.
	delayed []platform.Object
	// beforePut runs once, before the next Put, to simulate a faster operator.
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

// applyDelayed applies the delayed writes.
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
