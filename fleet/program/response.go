package program

import (
	"bufio"
	"net"
	"net/http"
)

// response is an http.ResponseWriter that records whether an answer has begun.
type response struct {
	http.ResponseWriter
	// begun is true once a part of the answer was written or the connection was taken over.
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	w.begun = w.begun || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *response) Write(data []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(data)
}

// Flush implements http.Flusher.
func (w *response) Flush() { _ = w.FlushError() } // a later write fails, too

// FlushError flushes for http.ResponseController.
func (w *response) FlushError() error {
	w.begun = true
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Hijack implements http.Hijacker.
func (w *response) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	w.begun = true
	return http.NewResponseController(w.ResponseWriter).Hijack()
}

// Unwrap returns the underlying http.ResponseWriter for http.ResponseController.
func (w *response) Unwrap() http.ResponseWriter { return w.ResponseWriter }
