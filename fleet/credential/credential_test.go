package credential

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// issue creates an authority that issues a certificate for each role, and returns
// its folder.
func issue(t *testing.T, roles ...Role) string {
	t.Helper()
	folder := t.TempDir()
	a, err := CreateAuthority(folder, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	for _, role := range roles {
		if err := a.Issue(Peer{
			Role: role,
			Name: string(role) + "-1",
		}, []net.IP{net.ParseIP("127.0.0.1")}, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

// load returns the credential of the role's certificate in the folder.
func load(t *testing.T, folder string, role Role) *Credential {
	t.Helper()
	c, err := Load(Settings{
		CertFile: filepath.Join(folder, string(role)+"-1.crt"),
		KeyFile:  filepath.Join(folder, string(role)+"-1.key"),
		CAFile:   filepath.Join(folder, AuthorityCertFile),
	}, Peer{})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// serve starts a server that only sidecars may call and returns its address.
func serve(t *testing.T, c *Credential) string {
	t.Helper()
	l, err := c.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: c.Require(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), Sidecar),
	}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// TestCertificatesProveRoles calls a server for sidecars with certificates of another
// role and of another authority: the first is forbidden, the second fails in the
// TLS handshake.
func TestCertificatesProveRoles(t *testing.T) {
	is := is.New(t)
	folder := issue(t, Controller, Sidecar, Gateway)
	address := serve(t, load(t, folder, Controller))
	get := func(c *Credential) (int, error) {
		response, err := c.Client().Get("https://" + address)
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		return response.StatusCode, nil
	}
	status, err := get(load(t, folder, Sidecar))
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	status, err = get(load(t, folder, Gateway))
	is.NoErr(err)
	is.Equal(status, http.StatusForbidden)
	_, err = get(load(t, issue(t, Sidecar), Sidecar)) // issued by another authority
	is.True(err != nil)
}

// TestPlainTCPOnLoopbackOnly checks that a shared token only serves for loopback
// addresses, authenticates requests and excludes a certificate.
func TestPlainTCPOnLoopbackOnly(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(path, []byte("0123456789abcdef\n"), 0o600))
	c, err := Load(Settings{
		InsecureLoopback: true,
		TokenFile:        path,
	}, Peer{
		Role: Sidecar,
		Name: "s",
	})
	is.NoErr(err)
	is.NoErr(c.CheckListen("127.0.0.1:1"))
	is.True(c.CheckListen("10.0.0.1:1") != nil)
	request, err := http.NewRequest(http.MethodGet, "http://127.0.0.1", nil)
	is.NoErr(err)
	_, ok := c.Peer(request)
	is.True(!ok)
	c.SetAuthHeaders(request)
	peer, ok := c.Peer(request)
	is.True(ok)
	is.Equal(peer, Peer{
		Role: Sidecar,
		Name: "s",
	})
	both := Settings{
		InsecureLoopback: true,
		TokenFile:        path,
		CertFile:         "x",
	}
	is.True(both.Check() != nil)
}
