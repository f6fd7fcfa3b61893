package exchange

import (
	"bufio"
	"bytes"
	"errors"
)

// oldVersion begins the responses of HTTP/1.0, which has no transfer encodings.
const oldVersion = "HTTP/1.0"

// errOldCoding means that an HTTP/1.0 response names a transfer encoding, so that its end is not known.
var errOldCoding = errors.New("exchange: transfer encoding in an HTTP/1.0 response")

// checkOldVersion returns an error if the next response is one of HTTP/1.0 whose head names a transfer encoding, or is
// too long for the buffer. The parser of responses drops that field. It reads ahead only as far as that takes.
func checkOldVersion(r *bufio.Reader) error {
	for i := range oldVersion {
		b, err := r.Peek(i + 1)
		if err != nil || b[i] != oldVersion[i] {
			// Without an error here, the parser returns the one of the connection.
			return nil
		}
	}
	for {
		b, _ := r.Peek(r.Buffered())
		if h, ok := headOf(b); ok {
			if bytes.Contains(bytes.ToLower(h), []byte("\ntransfer-encoding")) {
				return errOldCoding
			}
			return nil
		}
		if _, err := r.Peek(len(b) + 1); err != nil {
			return err
		}
	}
}

// headOf returns the bytes before the empty line that ends a head, if that line is among them.
func headOf(b []byte) ([]byte, bool) {
	h, _, ok := bytes.Cut(b, []byte("\n\r\n"))
	if g, _, found := bytes.Cut(h, []byte("\n\n")); found {
		return g, true
	}
	return h, ok
}
