// Package forward is the entry's side of a request: it ranks the shards of the service, sends the call to the first
// shard's owner and tries one more shard if that one refuses.
package forward
