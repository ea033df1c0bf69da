package problem

import (
	"net/http/httptest"
	"testing"
	"time"

	"baobabpaddle/fleet/internal/golden"
)

// TestWrite compares the headers and the body of a response with a golden file.
func TestWrite(t *testing.T) {
	p := NewNotRun(429, TooManyWaiting, "too many requests of this team wait")
	p.RetryAfter = 1500 * time.Millisecond
	w := httptest.NewRecorder()
	p.Write(w)
	golden.Check(t, "problem", w.Header().Get("Content-Type")+"\nRetry-After: "+w.Header().Get("Retry-After")+"\n"+w.Body.String())
}
