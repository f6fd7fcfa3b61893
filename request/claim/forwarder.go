package claim

import (
	"context"
	"net/http"

	"github.com/amaranthramp/amaranthramp/request/call"
	"github.com/amaranthramp/amaranthramp/request/outcome"
)

// maxKeyBytes limits the length of a key.
const maxKeyBytes = 255

// NextForwarder forwards a call whose key is reserved, or that needs no key, and returns its final answer.
type NextForwarder interface {
	Do(ctx context.Context, c *call.Call) call.Answer
}

// Forwarder forwards calls whose keys are new and answers the others itself.
type Forwarder struct {
	claimer *Claimer
	next    NextForwarder
}

// NewForwarder returns a forwarder that passes calls on to the next one.
func NewForwarder(m *Claimer, n NextForwarder) *Forwarder {
	return &Forwarder{claimer: m, next: n}
}

// Do returns the final answer of a call. The key of an idempotent call is ignored.
func (f *Forwarder) Do(ctx context.Context, c *call.Call) call.Answer {
	if c.Idempotent || c.Key == "" {
		return f.next.Do(ctx, c)
	}
	if len(c.Key) > maxKeyBytes {
		return call.Rejected(outcome.BadRequest, http.StatusBadRequest)
	}
	t, a := f.claimer.Reserve(ctx, c)
	if t == nil {
		return a
	}
	a = f.next.Do(ctx, c)
	t.Finish(&a)
	return a
}
