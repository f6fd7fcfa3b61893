// Package pool keeps a limited number of open connections to one address and reuses idle ones.
package pool
