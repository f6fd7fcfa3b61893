// Package retry limits the retries of each service to a share of its first attempts.
package retry
