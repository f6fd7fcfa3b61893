// Package schedule reads schedules of faults and applies them to a running deployment.
package schedule
