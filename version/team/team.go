package team

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/amaranthramp/amaranthramp/ident"
)

// Team is a group of callers that share API keys and an allowance.
type Team struct {
	Name ident.Team
	// Priority applies to the team's requests, in place of that of the route, if Ranked is true.
	Priority ident.Priority
	Ranked   bool
	// Rate and Burst are the allowance of the team, over all VMs together: requests per second, and requests in addition
	// to that at once. Zero means no limit.
	Rate  ident.Rate
	Burst float64
	// Keys are the digests of the team's API keys. A Directory does not keep them with the team.
	Keys []Digest
}

// Digest is the first half of the SHA-256 digest of an API key. 128 bits are enough, since a caller would have to find
// a preimage of one of them; the other half would only take memory.
type Digest [sha256.Size / 2]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest {
	h := sha256.Sum256([]byte(key))
	return Digest(h[:sha256.Size/2])
}

// String returns the digest in hexadecimal digits.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}
