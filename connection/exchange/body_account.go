package exchange

import (
	"errors"
	"io"

	"github.com/amaranthramp/amaranthramp/ident"
)

const (
	// firstBuffer is the size of the buffer with which the reading of a body of unknown length begins.
	firstBuffer ident.Bytes = 4 << 10
	// maxDoubled is the size up to which that buffer doubles when it is full; after that it gets the size of the largest
	// body, so that no two large buffers are held.
	maxDoubled ident.Bytes = 1 << 20
)

// The errors of a body that is not read.
var (
	// ErrNoRoom means that the other bodies that are held at present leave no room for the body.
	ErrNoRoom = errors.New("exchange: no room for the body at present")
	// ErrBodyTooLarge means that the body exceeds its limit, or what the budget can hold beside no other body.
	ErrBodyTooLarge = errors.New("exchange: body too large")
)

// BodyAccount is the part of a budget that the bodies of one request, and of the responses to it, use until it is
// closed. It is not safe for concurrent use.
type BodyAccount struct {
	budget *BodyBudget
	held   bodyMemory
}

// Close returns the part to the budget; none of the bodies may be used afterwards.
func (a *BodyAccount) Close() {
	a.releaseTo(bodyMemory{})
}

// ReadRequest reads the body of a request, of the given length in bytes, or of unknown length if it is negative. It
// fails with ErrBodyTooLarge or ErrNoRoom, before it reads anything if the length is known.
func (a *BodyAccount) ReadRequest(r io.Reader, length int64, limit ident.Bytes) ([]byte, error) {
	return a.read(r, requestBody, length, limit)
}

// ReadResponse reads the body of a response of any size that the budget can hold, in the same way as ReadRequest.
func (a *BodyAccount) ReadResponse(r io.Reader, length int64) ([]byte, error) {
	return a.read(r, responseBody, length, a.budget.maxBody(responseBody))
}

func (a *BodyAccount) read(r io.Reader, k bodyKind, length int64, limit ident.Bytes) (b []byte, err error) {
	before := a.held
	defer func() {
		if err != nil {
			a.releaseTo(before)
		}
	}()
	limit = min(limit, a.budget.largest(k))
	if ident.Bytes(length) > limit {
		return nil, ErrBodyTooLarge
	}
	if length >= 0 {
		return a.readWhole(r, k, ident.Bytes(length))
	}
	return a.readOpen(r, k, limit)
}

// readWhole reads a body of known length into a buffer of that size.
func (a *BodyAccount) readWhole(r io.Reader, k bodyKind, n ident.Bytes) ([]byte, error) {
	if !a.reserve(k, n) {
		return nil, ErrNoRoom
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return b, nil
}

// readOpen reads a body of unknown length of at most limit bytes.
func (a *BodyAccount) readOpen(r io.Reader, k bodyKind, limit ident.Bytes) ([]byte, error) {
	if a.budget.limit > 0 {
		// The buffer before the last one is held while its bytes are copied.
		most := a.budget.largest(k)
		limit = min(limit, max(most-maxDoubled, most/2)-1)
	}
	size := min(firstBuffer, limit+1)
	if !a.reserve(k, size) {
		return nil, ErrNoRoom
	}
	b := make([]byte, 0, size)
	for {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case ident.Bytes(len(b)) > limit:
			return nil, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return a.trim(b, k), nil
		case err != nil:
			return nil, err
		case len(b) < cap(b):
			continue
		}
		if b, err = a.moved(b, k, nextSize(ident.Bytes(cap(b)), limit)); err != nil {
			return nil, err
		}
	}
}

// nextSize returns the size of the buffer that follows a full one for a body of at most limit bytes. One more byte
// shows that a body is too large.
func nextSize(n, limit ident.Bytes) ident.Bytes {
	if n >= maxDoubled {
		return limit + 1
	}
	return min(2*n, limit+1)
}

// moved returns a body in a buffer of the given size, and releases its present one.
func (a *BodyAccount) moved(b []byte, k bodyKind, size ident.Bytes) ([]byte, error) {
	if !a.reserve(k, size) {
		return nil, ErrNoRoom
	}
	l := append(make([]byte, 0, size), b...)
	a.release(ident.Bytes(cap(b)))
	return l, nil
}

// trim returns a body in a buffer of its size if its present one is over twice as large and there is room.
func (a *BodyAccount) trim(b []byte, k bodyKind) []byte {
	if ident.Bytes(cap(b)) <= SmallBody || 2*len(b) > cap(b) {
		return b
	}
	if l, err := a.moved(b, k, ident.Bytes(len(b))); err == nil {
		return l
	}
	return b
}

func (a *BodyAccount) reserve(k bodyKind, n ident.Bytes) bool {
	if !a.budget.reserve(k, n) {
		return false
	}
	a.held = a.held.plus(memoryOf(n))
	return true
}

func (a *BodyAccount) release(n ident.Bytes) {
	a.releaseTo(a.held.minus(memoryOf(n)))
}

// releaseTo releases what is held beyond m.
func (a *BodyAccount) releaseTo(m bodyMemory) {
	a.budget.release(a.held.minus(m))
	a.held = m
}
