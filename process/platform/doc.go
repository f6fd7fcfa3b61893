// Package platform implements a client of the platform's object API, which offers versioned objects, conditional
// updates, watches and a list of VMs.
package platform
