// Package upstream holds what this VM knows of each registered target: its connections, the requests in flight to it,
// its last load report, and whether it is trusted or ejected after failures. A target is a registered process of a
// service.
package upstream
