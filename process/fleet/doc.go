// Package fleet lets a few VMs read the store for all: these send digests of what they know, and the others fetch what
// is new from them. A VM that hears nothing in time reads for itself.
package fleet
