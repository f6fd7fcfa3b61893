package pool

import (
	"hash/maphash"
	"net/http"
	"slices"

	"github.com/amaranthramp/amaranthramp/ident"
)

// maxCarried is how many requests a connection carries before it is closed, which bounds the memory for their IDs.
const maxCarried = 1024

// hashSeed keeps callers from choosing IDs with the same hash.
var hashSeed = maphash.MakeSeed()

// carried holds what is to be known of the requests that a connection has carried, since the other side may repeat its
// response to any of them. The zero value is a connection that has carried none.
type carried struct {
	// hashes are those of the IDs. IDs with the same hash count as the same one.
	hashes []uint32
	head   bool
}

func hashOf(id ident.Request) uint32 {
	return uint32(maphash.String(hashSeed, string(id)))
}

// Carry records a request that the connection is about to carry.
func (c *Conn) Carry(id ident.Request, method string) {
	c.carried.hashes = append(c.carried.hashes, hashOf(id))
	c.carried.head = c.carried.head || method == http.MethodHead
}

// Carried reports whether the connection has carried a request with the ID. A repeated response to that one could not
// be told from the response to another request with the same ID.
func (c *Conn) Carried(id ident.Request) bool {
	return len(c.carried.hashes) > 0 && slices.Contains(c.carried.hashes, hashOf(id))
}

// CarriedHead reports whether the connection has carried a HEAD request, whose response has no body whatever its
// length.
func (c *Conn) CarriedHead() bool {
	return c.carried.head
}

// exhausted reports whether the connection must not carry another request.
func (c *carried) exhausted() bool {
	return len(c.hashes) >= maxCarried
}
