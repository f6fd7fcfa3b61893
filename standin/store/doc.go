// Package store is a test double of the platform's object API that keeps objects in memory, for tests and the bench.
package store
