// Package entry implements the entry process of a VM: it accepts callers' requests, forwards them to the owners of
// their shards, and dispatches the requests of its own shards to upstreams while its lease lasts.
package entry
