// Package objects is a test double of the users' object store, with kinds, revisions, pages, watches and
// injected faults.
package objects
