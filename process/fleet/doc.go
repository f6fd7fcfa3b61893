// Package fleet lets a few VMs read the store for all: these send the others what has changed, in datagrams, and
// digests of what they know, by which a VM that lost something notices and fetches it. A VM that hears nothing in time
// reads for itself.
package fleet
