// Package call defines a caller's request and its response, and the headers that carry both between processes.
package call
