package membership

import (
	"crypto/hmac"
	"crypto/sha256"
)

// tagSize is the length in bytes of the authentication tag at the end of a datagram.
const tagSize = 16

// appendTag appends the authentication tag, or nothing if there is no key.
//
// Replaying a datagram doesn't let two processes hold one lease. An announcement that tenures are closed stays true. A
// grant counts only for a lease request that is still pending, and from the time at which that request was sent. A
// report says how long the witness's grants remain valid, counted from the receipt of the report: from a replayed
// report the receiver only takes them to be valid for longer than they are.
func appendTag(key, b []byte) []byte {
	if len(key) == 0 {
		return b
	}
	return append(b, computeTag(key, b)...)
}

// checkTag returns the content of a datagram, and false if its authentication tag is wrong.
func checkTag(key, b []byte) ([]byte, bool) {
	if len(key) == 0 {
		return b, true
	}
	n := len(b) - tagSize
	if n < 0 || !hmac.Equal(computeTag(key, b[:n]), b[n:]) {
		return nil, false
	}
	return b[:n], true
}

func computeTag(key, b []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write(b)
	return h.Sum(nil)[:tagSize]
}
