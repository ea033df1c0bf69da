package link

import (
	"io"
	"log"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/credential"
)

// TestPanicClosesLink guards against links that stay open, with heartbeats, after what uses them has
// panicked: the server does not close a connection that a handler has taken over.
func TestPanicClosesLink(t *testing.T) {
	is := is.New(t)
	cred, err := credential.Load(credential.Settings{
		PrivateNetwork: true,
	}, credential.Peer{
		Role: credential.Gateway,
		Name: "g",
	})
	is.NoErr(err)
	d := Dialer{
		Credential: cred,
		Stats:      &Stats{},
	}
	server := httptest.NewUnstartedServer(Handler(t.Context(), d, func(credential.Peer, *Conn[frame]) { panic("link") }))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	defer server.Close()
	c, err := Dial[frame](t.Context(), d, strings.TrimPrefix(server.URL, "http://"), "/")
	is.NoErr(err)
	defer c.Close()
	go func() { _, _ = c.Receive() }() // returns at the end of the link
	select {
	case <-c.Done():
	case <-time.After(2 * DefaultHeartbeatInterval):
		t.Fatal("the link is still open")
	}
}
