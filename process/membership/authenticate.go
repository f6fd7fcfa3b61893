package membership

import (
	"crypto/hmac"
	"crypto/sha256"
)

// tagSize is the length in bytes of the authenticator at the end of a datagram.
const tagSize = 16

// seal appends the authenticator, or nothing when there is no key.
//
// A datagram that is sent again by a stranger does no harm to exclusivity: what it says of the past stays true, a
// grant counts only for a renewal that waits for it, and a remaining time counts from the receipt.
func appendTag(key, b []byte) []byte {
	if len(key) == 0 {
		return b
	}
	return append(b, computeTag(key, b)...)
}

// unseal returns the content of a datagram, and false when its authenticator is not right.
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
