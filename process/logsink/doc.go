// Package logsink writes log lines without ever making their writers wait: what does not fit is dropped and counted.
package logsink
