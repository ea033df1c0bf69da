package credential

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/problem"
)

// Role is the role of a peer in the fleet, which decides what it may call.
type Role string

// The roles of peers.
const (
	Gateway    Role = "gateway"
	Sidecar    Role = "sidecar"
	Controller Role = "controller"
	Operator   Role = "operator"
)

// Headers in which a peer without a certificate states its role and name.
const (
	roleHeader = "Baobab-Role"
	nameHeader = "Baobab-Name"
)

const (
	// minTokenLength is the shortest accepted shared token, in bytes.
	minTokenLength = 16
	// dialTimeout bounds each of the TCP and the TLS handshake.
	dialTimeout = 2 * time.Second
)

// Settings selects one of three ways to authenticate and names the files for it.
type Settings struct {
	// CertFile, KeyFile and CAFile are PEM files for mutual TLS.
	CertFile string `json:"cert_file,omitempty"`
	KeyFile  string `json:"key_file,omitempty"`
	CAFile   string `json:"ca_file,omitempty"`
	// InsecureLoopback allows plain TCP with a shared token on loopback addresses.
	InsecureLoopback bool `json:"insecure_loopback,omitempty"`
	// TokenFile is the file with the shared token for InsecureLoopback.
	TokenFile string `json:"token_file,omitempty"`
	// PrivateNetwork allows plain TCP without a token between any addresses. It is
	// meant for networks that only the fleet can reach.
	PrivateNetwork bool `json:"private_network,omitempty"`
}

// Check returns an error for a missing or contradictory field.
func (s *Settings) Check() error {
	if s.PrivateNetwork {
		if *s != (Settings{
			PrivateNetwork: true,
		}) {
			return merry.New("private_network: can't be combined with other fields")
		}
		return nil
	}
	if s.InsecureLoopback {
		if s.TokenFile == "" || s.CertFile != "" {
			return merry.New("token_file: insecure_loopback needs a token file and no certificate")
		}
		return nil
	}
	if s.CertFile == "" || s.KeyFile == "" || s.CAFile == "" {
		return merry.New("cert_file: want cert_file, key_file and ca_file, or insecure_loopback")
	}
	return nil
}

// Peer identifies a process of the fleet or an operator.
type Peer struct {
	Role Role
	Name string
}

// Credential authenticates a process to its peers and its peers to it. It is safe
// for concurrent use.
type Credential struct {
	self  Peer             // sent where there is no certificate
	token string           // set for insecure loopback
	cert  *tls.Certificate // nil without mutual TLS
	pool  *x509.CertPool   // the fleet's authority
	// privateNetwork is true where peers need no proof of who they are, since the
	// network admits nobody else.
	privateNetwork bool
	dial           DialFunc
}

// DialFunc opens a connection as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Load reads the files that the settings name. self is the peer that the process
// claims to be where it has no certificate.
func Load(s Settings, self Peer) (*Credential, error) {
	c := &Credential{
		self:           self,
		privateNetwork: s.PrivateNetwork,
		dial: (&net.Dialer{
			Timeout: dialTimeout,
		}).DialContext,
	}
	if s.PrivateNetwork {
		return c, nil
	}
	if s.InsecureLoopback {
		data, err := os.ReadFile(s.TokenFile)
		if err != nil {
			return nil, merry.Prepend(err, "token_file")
		}
		c.token = strings.TrimSpace(string(data))
		if len(c.token) < minTokenLength {
			return nil, merry.Errorf("token_file: want at least %d characters", minTokenLength)
		}
		return c, nil
	}
	pair, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, merry.Prepend(err, "cert_file")
	}
	c.cert = &pair
	pem, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, merry.Prepend(err, "ca_file")
	}
	c.pool = x509.NewCertPool()
	if !c.pool.AppendCertsFromPEM(pem) {
		return nil, merry.New("ca_file: holds no certificate")
	}
	return c, nil
}

// WithDial returns a copy of the credential whose transports open connections with dial, which
// must bound the time that this takes.
func (c *Credential) WithDial(dial DialFunc) *Credential {
	with := *c
	with.dial = dial
	return &with
}

// CheckListen returns an error if the credential does not allow listening on the
// address: without a certificate or a private network it must be on loopback.
func (c *Credential) CheckListen(address string) error {
	if c.cert != nil || c.privateNetwork {
		return nil
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return merry.Prepend(err, "listen")
	}
	if !parsed.Addr().IsLoopback() {
		return merry.Errorf("listen: %s is not on loopback and there is no certificate", address)
	}
	return nil
}

// Listen returns a listener for the fleet's processes and operators. With a
// certificate it requires TLS 1.3 and a client certificate of the fleet's authority.
func (c *Credential) Listen(address string) (net.Listener, error) {
	if err := c.CheckListen(address); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Prepend(err, "listen")
	}
	if c.cert == nil {
		return l, nil
	}
	return tls.NewListener(l, &tls.Config{
		Certificates: []tls.Certificate{*c.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    c.pool,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"http/1.1"},
	}), nil
}

// Scheme returns "https" with certificates and "http" without.
func (c *Credential) Scheme() string {
	if c.cert != nil {
		return "https"
	}
	return "http"
}

// Transport returns a new HTTP transport to the fleet's processes. With reuse, idle
// connections are used again; net/http then retries some requests by itself when
// the peer has closed the connection, so reuse is only for requests that may run
// twice. Without reuse each request has a new connection and is never retried.
func (c *Credential) Transport(reuse bool) *http.Transport {
	t := &http.Transport{
		DialContext:         c.dial,
		TLSHandshakeTimeout: dialTimeout,
		DisableKeepAlives:   !reuse,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	if c.cert != nil {
		t.TLSClientConfig = &tls.Config{
			Certificates: []tls.Certificate{*c.cert},
			RootCAs:      c.pool,
			MinVersion:   tls.VersionTLS13,
		}
	}
	return t
}

// SetAuthHeaders sets the headers that authenticate the process to its peer. With a
// certificate it does nothing, because the TLS handshake does so.
func (c *Credential) SetAuthHeaders(r *http.Request) {
	if c.cert != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	r.Header.Set(roleHeader, string(c.self.Role))
	r.Header.Set(nameHeader, c.self.Name)
}

// authTransport is an http.RoundTripper that sets the authentication headers.
type authTransport struct {
	credential *Credential
	next       http.RoundTripper
}

// RoundTrip sends a copy of the request with the authentication headers.
func (t authTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	t.credential.SetAuthHeaders(r)
	return t.next.RoundTrip(r)
}

// Client returns an HTTP client that authenticates its requests and reuses
// connections, so it is only for requests that may run twice.
func (c *Credential) Client() *http.Client {
	return &http.Client{
		Transport: authTransport{
			credential: c,
			next:       c.Transport(true),
		},
	}
}

// Peer returns the sender of a request, and false if it is not authenticated. With a
// certificate the common name is the peer's name and the only organizational unit
// its role; otherwise both are taken from the headers, which the token, if one is
// in use, vouches for.
func (c *Credential) Peer(r *http.Request) (Peer, bool) {
	if c.cert == nil {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !c.privateNetwork && (!ok || subtle.ConstantTimeCompare([]byte(token), []byte(c.token)) != 1) {
			return Peer{}, false
		}
		return Peer{
			Role: Role(r.Header.Get(roleHeader)),
			Name: r.Header.Get(nameHeader),
		}, true
	}
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return Peer{}, false
	}
	subject := r.TLS.PeerCertificates[0].Subject
	if len(subject.OrganizationalUnit) != 1 {
		return Peer{}, false
	}
	return Peer{
		Role: Role(subject.OrganizationalUnit[0]),
		Name: subject.CommonName,
	}, true
}

// Require returns a handler that passes the requests of peers with one of the roles
// to next. It answers others with status 401 or 403.
func (c *Credential) Require(next http.Handler, roles ...Role) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer, ok := c.Peer(r)
		if !ok {
			problem.NewNotRun(http.StatusUnauthorized, problem.Unauthorized, "no valid credential").Write(w)
			return
		}
		if !slices.Contains(roles, peer.Role) {
			problem.NewNotRun(http.StatusForbidden, problem.Forbidden, "the role may not do this").Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}
