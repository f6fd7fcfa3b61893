// Package logsink writes log lines asynchronously, so that logging never blocks: lines that don't fit in the queue are
// dropped and counted.
package logsink
