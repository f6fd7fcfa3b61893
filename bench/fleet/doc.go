// Package fleet starts the processes of a small deployment on loopback addresses, and stops only those it started.
package fleet
