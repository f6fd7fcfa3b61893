// Package daemon implements what the long-running programs have in common: flags, logs, signals and exit codes.
package daemon
