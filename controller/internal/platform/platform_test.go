package platform

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestReadHosts guards against a list that is no longer followed: since one entry is malformed,
// or since an empty one is written as null.
func TestReadHosts(t *testing.T) {
	for body, want := range map[string]int{
		`[{"name":"a","state":"live"},{"name":"b","state":"leaving"}]`:         2,
		`[{"name":"a","state":"live"},{"name":7},x,{"name":"b"}]`:              2,
		`[{"name":"a","state":"live"},"x` + "\n" + `,{"name":"b","state":""}]`: 2,
		"[]":     0,
		"null\n": 0,
		"{}":     -1,
		"":       -1,
	} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, body)
		}))
		hosts, err := read(context.Background(), server.Client(), server.URL)
		server.Close()
		is.Equal(err != nil, want < 0)
		is.Equal(len(hosts), max(want, 0))
	}
}
