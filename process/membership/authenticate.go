package membership

import (
	"crypto/hmac"
	"crypto/sha256"
)

// tagSize is the length in bytes of the authentication tag at the end of a datagram.
const tagSize = 16

// appendTag appends the authentication tag, or nothing if there is no key.
//
// Replaying a datagram doesn't break the exclusivity of leases: what it says about the past stays true, a grant counts
// only for a pending renewal, and a remaining time counts from the receipt.
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
