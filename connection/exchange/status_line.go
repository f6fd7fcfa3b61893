package exchange

import (
	"bufio"
	"errors"
	"fmt"
)

// The status line of a response begins with the version, a space and the three digits of the status; then comes a
// space or the end of the line (RFC 9112, 4).
const (
	statusLinePrefix = "HTTP/1."
	statusAt         = len(statusLinePrefix) + len("1 ")
	statusEnd        = statusAt + len("200")
)

// errStatus means that the bytes where a response is due have no status from 100 to 599.
var errStatus = errors.New("exchange: no status line with a status from 100 to 599")

// checkStatusLine returns an error if the next response has no status line of HTTP/1 or a status that is none. The
// parser of responses passes any three characters that are a number, such as 000 or +20, and more than one space. What
// follows such a response on the connection can't be told from a part of it. It reads ahead only as far as that takes.
func checkStatusLine(r *bufio.Reader) error {
	for i := range statusEnd + 1 {
		b, err := r.Peek(i + 1)
		if err != nil {
			return fmt.Errorf("read status line: %w", err)
		}
		if !isStatusLineByte(i, b[i]) {
			return fmt.Errorf("%w: %.20q", errStatus, b)
		}
	}
	return nil
}

// isStatusLineByte reports whether a byte may stand at a place of a status line.
func isStatusLineByte(i int, c byte) bool {
	switch {
	case i < len(statusLinePrefix):
		return c == statusLinePrefix[i]
	case i == statusAt-1:
		return c == ' '
	case i == statusAt:
		return c >= '1' && c <= '5'
	case i < statusEnd:
		return c >= '0' && c <= '9'
	case i == statusEnd:
		return c == ' ' || c == '\r' || c == '\n'
	default:
		// The minor version.
		return c >= '0' && c <= '9'
	}
}
