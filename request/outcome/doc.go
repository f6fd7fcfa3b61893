// Package outcome defines the outcomes of requests, the reasons for them, and the events that can end an attempt.
package outcome
