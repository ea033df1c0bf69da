package main

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/credential"
)

// TestCallerServersLogErrors guards against errors of the servers for callers that are text on standard
// error.
func TestCallerServersLogErrors(t *testing.T) {
	is := is.New(t)
	cred, err := credential.Load(credential.Settings{
		PrivateNetwork: true,
	}, credential.Peer{
		Role: credential.Gateway,
	})
	is.NoErr(err)
	var lines bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&lines, nil))
	for _, server := range []*http.Server{
		newServeComponents(ServeSettings{
			RetryWindowSeconds: 1,
		}, cred, log).newServer(),
		newComponents(Settings{}, cred, log).newServer(),
	} {
		lines.Reset()
		is.True(server.ErrorLog != nil)
		server.ErrorLog.Print("http: the cause")
		is.True(strings.Contains(lines.String(), `"msg":"error of an HTTP server","listener":"callers","left_out":0,"cause":"http: the cause"`))
	}
}
