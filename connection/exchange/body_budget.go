package exchange

import (
	"errors"
	"io"
	"sync"

	"github.com/amaranthramp/amaranthramp/ident"
	"github.com/amaranthramp/amaranthramp/request/call"
)

const (
	// unbudgetedBody is the size up to which a body is read without a part of the budget.
	unbudgetedBody ident.Bytes = 64 << 10
	// firstBuffer is the size of the buffer with which the reading of a body begins.
	firstBuffer ident.Bytes = 4 << 10
)

// errBodyBudget means that the budget for bodies is used up.
var errBodyBudget = errors.New("exchange: budget for response bodies used up")

// BodyBudget bounds the memory of all large response bodies that a process reads at the same time, so that targets that
// send bodies without end can't fill it. It is safe for concurrent use.
type BodyBudget struct {
	limit ident.Bytes

	mu   sync.Mutex
	used ident.Bytes
}

// NewBodyBudget returns a budget of the given number of bytes; zero means no bound.
func NewBodyBudget(limit ident.Bytes) *BodyBudget {
	return &BodyBudget{limit: limit}
}

func (b *BodyBudget) reserve(n ident.Bytes) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

func (b *BodyBudget) release(n ident.Bytes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// readBody reads a body of at most call.MaxBody+1 bytes. It fails with errBodyBudget if the budget doesn't allow the
// memory for it.
func (b *BodyBudget) readBody(r io.Reader) ([]byte, error) {
	buf := make([]byte, 0, firstBuffer)
	reserved := ident.Bytes(0)
	defer func() { b.release(reserved) }()
	for {
		n, err := r.Read(buf[len(buf):min(cap(buf), call.MaxBody+1)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) || err == nil && len(buf) > call.MaxBody {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
		if len(buf) < cap(buf) {
			continue
		}
		size := min(2*ident.Bytes(cap(buf)), call.MaxBody+1)
		if size > unbudgetedBody {
			if !b.reserve(size - reserved) {
				return nil, errBodyBudget
			}
			reserved = size
		}
		buf = append(make([]byte, 0, size), buf...)
	}
}
