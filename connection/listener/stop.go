package listener

import "net/http"

// CloseOnStop returns a middleware that asks callers to close their connections, with the header Connection: close,
// once stopping returns true.
func CloseOnStop(stopping func() bool) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			next.ServeHTTP(&stopWriter{ResponseWriter: w, stopping: stopping}, r)
		})
	}
}

// stopWriter sets the Connection header last, just before the status is written, since handlers remove the connection
// headers that upstreams sent, and the stop may begin while they run.
type stopWriter struct {
	http.ResponseWriter
	stopping func() bool
	written  bool
}

// WriteHeader writes the status, with Connection: close once the stop has begun.
func (w *stopWriter) WriteHeader(status int) {
	w.written = true
	if w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the status 200 unless another one has been written.
func (w *stopWriter) Write(b []byte) (int, error) {
	if !w.written {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer behind this one, for http.ResponseController.
func (w *stopWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
