// Package fleet lets a few VMs, the readers, read the store on behalf of all. The readers push changes to the other VMs
// in datagrams, with digests of what they know. A VM that learns from a digest that it missed a change fetches the
// change from that reader. A VM that hears from no reader in time reads the store itself.
package fleet
