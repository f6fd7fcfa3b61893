package exchange

import (
	"math"
	"runtime"
	"sync"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/call"
)

// SmallBody is the size in bytes up to which a body counts as small. Large bodies can't take the whole budget, so that
// small ones find room beside them.
const SmallBody = 64 << 10

// The shares of the budget that may be in use after a large body has got its part. Bodies of requests leave room for
// bodies of responses, whose requests have run.
const (
	largeRequestShare  = 0.8
	largeResponseShare = 0.95
)

// bodyKind is the kind of message to which a body belongs.
type bodyKind int

const (
	requestBody bodyKind = iota
	responseBody
)

// BodyBudget bounds the memory of all bodies of requests and responses that a process holds at the same time. Memory of
// large bodies counts until it has been collected. It is safe for concurrent use.
type BodyBudget struct {
	limit ident.Bytes
	// collect runs the garbage collector.
	collect func()
	// collecting is held while the garbage collector runs.
	collecting sync.Mutex

	mu   sync.Mutex
	used bodyMemory
	// freed is the memory of large bodies that are no longer used, but may not have been collected yet.
	freed ident.Bytes
}

// bodyMemory is the memory of small and of large bodies.
type bodyMemory struct {
	small, large ident.Bytes
}

// memoryOf returns the memory of one body or buffer.
func memoryOf(n ident.Bytes) bodyMemory {
	if n > SmallBody {
		return bodyMemory{large: n}
	}
	return bodyMemory{small: n}
}

func (m bodyMemory) plus(o bodyMemory) bodyMemory {
	return bodyMemory{small: m.small + o.small, large: m.large + o.large}
}

func (m bodyMemory) minus(o bodyMemory) bodyMemory {
	return bodyMemory{small: m.small - o.small, large: m.large - o.large}
}

func (m bodyMemory) total() ident.Bytes {
	return m.small + m.large
}

// NewBodyBudget returns a budget of the given number of bytes; zero means no bound.
func NewBodyBudget(limit ident.Bytes) *BodyBudget {
	return &BodyBudget{limit: limit, collect: runtime.GC}
}

// Open returns an account for the bodies of one request and of the responses to it. It must be closed.
func (b *BodyBudget) Open() *BodyAccount {
	return &BodyAccount{budget: b}
}

// bound returns how much of the budget may be in use after a body of the given kind and size has got its part.
func (b *BodyBudget) bound(k bodyKind, n ident.Bytes) ident.Bytes {
	switch {
	case b.limit == 0:
		return math.MaxInt64
	case n <= SmallBody:
		return b.limit
	case k == requestBody:
		return ident.Bytes(largeRequestShare * float64(b.limit))
	default:
		return ident.Bytes(largeResponseShare * float64(b.limit))
	}
}

// largest returns the size of the largest body that the budget can hold beside no other.
func (b *BodyBudget) largest(k bodyKind) ident.Bytes {
	return max(b.bound(k, SmallBody+1), min(SmallBody, b.limit))
}

// MaxRequest returns the size of the largest body of a request that can be read.
func (b *BodyBudget) MaxRequest() ident.Bytes {
	return b.maxBody(requestBody)
}

// Bounded reports whether the budget bounds anything.
func (b *BodyBudget) Bounded() bool {
	return b.limit > 0
}

// maxBody returns the size of the largest body that can be read: what the budget can hold beside no other or, without a
// bound, call.MaxBody.
func (b *BodyBudget) maxBody(k bodyKind) ident.Bytes {
	if !b.Bounded() {
		return call.MaxBody
	}
	return b.largest(k)
}

// reserve takes n bytes out of the budget and reports whether it could. It collects garbage if that gives the room.
func (b *BodyBudget) reserve(k bodyKind, n ident.Bytes) bool {
	most := b.bound(k, n)
	ok, collectable := b.take(n, most)
	if !collectable {
		return ok
	}
	b.collectFreed()
	ok, _ = b.take(n, most)
	return ok
}

// take takes n bytes if no more than the given number is in use then. If it can't, it reports whether it could without
// the memory that is freed but not collected.
func (b *BodyBudget) take(n, most ident.Bytes) (ok, collectable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := b.used.total()
	if n > most-used-b.freed {
		return false, n <= most-used
	}
	b.used = b.used.plus(memoryOf(n))
	return true, false
}

// collectFreed collects the memory that has been freed before.
func (b *BodyBudget) collectFreed() {
	b.collecting.Lock()
	defer b.collecting.Unlock()
	b.mu.Lock()
	n := b.freed
	b.mu.Unlock()
	if n == 0 {
		return
	}
	b.collect()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freed -= n
}

// release returns memory that is no longer used.
func (b *BodyBudget) release(m bodyMemory) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = b.used.minus(m)
	if b.limit > 0 {
		b.freed += m.large
	}
}
