// Package upstream holds what this VM knows of each registered target: its connections, its requests in flight, its
// last report, and whether it is trusted to answer.
package upstream
