package upstream

import (
	"net/http"
	"regexp"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/answer"
)

// errCutHead means that the head of an answer breaks off within a line and another one follows
// it on the connection.
var errCutHead = merry.Sentinel("another answer begins within the head of the upstream's answer")

// errInvalidStatus means that the status of an answer is outside 100 to 599. RFC 9110, section
// 15, has it treated as a failure of the server.
var errInvalidStatus = merry.Sentinel("the status of the upstream's answer is not one of HTTP")

// errSwitch means that the upstream switches to another protocol, which no request asks for.
var errSwitch = merry.Sentinel("the upstream switches the protocol without a request for it")

// errInvalidHeader means that the name of a header contains a space.
var errInvalidHeader = merry.Sentinel("a header of the upstream's answer has a space in its name")

// errOldChunks means that an answer of a version before HTTP/1.1 has the header
// Transfer-Encoding.
var errOldChunks = merry.Sentinel("the upstream's answer has chunks and a version before HTTP/1.1")

// maxStatus is the greatest status of HTTP.
const maxStatus = 599

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
		if err := k.checkVersion(); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(a.conn.reader, request)
		if err != nil {
			return nil, err
		}
		if hasSecondStatusLine(response) {
			return nil, errCutHead
		}
		if answer.HasSpaceInName(response.Header) {
			return nil, errInvalidHeader
		}
		switch status := response.StatusCode; {
		case status < http.StatusContinue || status > maxStatus:
			return nil, merry.Prependf(errInvalidStatus, "status %03d", status)
		case status == http.StatusSwitchingProtocols:
			return nil, errSwitch
		case status >= http.StatusOK:
			return response, nil
		}
		// Interim responses are dropped.
	}
	return nil, ErrTooLong
}

// checkVersion returns an error if the next head is of a version before HTTP/1.1 and has the header
// Transfer-Encoding in its first readBufferBytes, or if the version can't be read.
func (k *conn) checkVersion() error {
	start, err := k.reader.Peek(answer.VersionBytes)
	if err != nil || !answer.IsOldVersion(start) {
		return err
	}
	for {
		arrived, err := k.reader.Peek(k.reader.Buffered())
		if err != nil {
			return err
		}
		has, whole := answer.HasTransferEncoding(arrived)
		if has {
			return errOldChunks
		}
		if whole || len(arrived) == k.reader.Size() {
			return nil
		}
		if _, err := k.reader.Peek(len(arrived) + 1); err != nil {
			return err
		}
	}
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
