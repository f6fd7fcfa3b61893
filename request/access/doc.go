// Package access decides whether a request may run: by its API key, the teams of the configuration, and how current
// this VM's copy of the configuration is.
package access
