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
}

// WriteHeader writes the status, with Connection: close once the stop has begun.
func (w *stopWriter) WriteHeader(status int) {
	if w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer behind this one, for http.ResponseController.
func (w *stopWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
