package upstream

import (
	"net/http"
	"regexp"

	"github.com/ansel1/merry/v2"
)

// errCutHead means that the head of an answer breaks off within a line and another one follows
// it on the connection.
var errCutHead = merry.Sentinel("another answer begins within the head of the upstream's answer")

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[0-9] [0-9]{3}`)

// readHead reads the head of the next final response, within the client's limits.
func (a *Answer) readHead(method string) (*http.Response, error) {
	request := &http.Request{
		Method: method,
	}
	k := a.conn
	k.readingHead, k.headBytesLeft = true, a.client.limits.HeadBytes
	defer func() { k.readingHead = false }()
	for range a.client.limits.Interim + 1 {
		response, err := http.ReadResponse(a.conn.reader, request)
		if err != nil {
			return nil, err
		}
		if hasSecondStatusLine(response) {
			return nil, errCutHead
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		// Interim responses are dropped.
	}
	return nil, ErrTooLong
}

// hasSecondStatusLine reports whether a status line is part of another line of the head. The
// status and the headers are then those of two answers.
func hasSecondStatusLine(r *http.Response) bool {
	if statusLine.MatchString(r.Status) {
		return true
	}
	for _, values := range r.Header {
		for _, v := range values {
			if statusLine.MatchString(v) {
				return true
			}
		}
	}
	return false
}
