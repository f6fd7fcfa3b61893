// Package rule implements the retry rules: whether a request may be retried after an attempt, and the outcome reported
// to its caller.
package rule
