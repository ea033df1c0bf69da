package sidecar

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// silenceReadBytes is the most that is read at once, in bytes. A read of a chunk of an answer lasts
// until all of what it asks for has arrived.
const silenceReadBytes = 16 << 10

// silenceTimer cancels an exchange with a sidecar when no byte has passed for silenceTimeout.
type silenceTimer struct {
	timer *time.Timer
}

// newSilenceTimer returns a timer that runs and calls cancel.
func newSilenceTimer(cancel context.CancelFunc) silenceTimer {
	return silenceTimer{
		timer: time.AfterFunc(silenceTimeout, cancel),
	}
}

// stop stops the timer, for example while the caller's connection accepts nothing.
func (s silenceTimer) stop() { s.timer.Stop() }

// restart starts the timer anew.
func (s silenceTimer) restart() { s.timer.Reset(silenceTimeout) }

// reader returns a reader that restarts the timer whenever bytes are read from r.
func (s silenceTimer) reader(r io.Reader) io.Reader {
	return &silenceReader{
		reader: r,
		timer:  s,
	}
}

// setBody sets the body of a request. The timer is restarted whenever the transport takes a part of
// it.
func (s silenceTimer) setBody(request *http.Request, body []byte) {
	if len(body) == 0 {
		return
	}
	open := func() (io.ReadCloser, error) { return io.NopCloser(s.reader(bytes.NewReader(body))), nil }
	request.Body, _ = open()
	request.GetBody = open
	request.ContentLength = int64(len(body))
}

// silenceReader is the reader that silenceTimer.reader returns.
type silenceReader struct {
	reader io.Reader
	timer  silenceTimer
}

// Read implements io.Reader.
func (r *silenceReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p[:min(len(p), silenceReadBytes)])
	if n > 0 {
		r.timer.restart()
	}
	return n, err
}
