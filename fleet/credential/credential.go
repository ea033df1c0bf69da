package credential

import (
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

// Role is what a peer is in the fleet.
type Role string

// The roles of peers.
const (
	Gateway    Role = "gateway"
	Sidecar    Role = "sidecar"
	Controller Role = "controller"
	Operator   Role = "operator"
)

const (
	roleHeader     = "Baobab-Role"
	nameHeader     = "Baobab-Name"
	minTokenLength = 16
	dialTimeout    = 2 * time.Second
)

// Settings tells where a process finds its credential.
type Settings struct {
	// CertFile, KeyFile and CAFile are PEM files for mutual TLS.
	CertFile string `json:"cert_file,omitempty"`
	KeyFile  string `json:"key_file,omitempty"`
	CAFile   string `json:"ca_file,omitempty"`
	// InsecureLoopback allows plain TCP between addresses on loopback.
	InsecureLoopback bool `json:"insecure_loopback,omitempty"`
	// TokenFile holds the shared token for insecure loopback.
	TokenFile string `json:"token_file,omitempty"`
	// PrivateNetwork allows plain TCP without a token between any addresses, for
	// networks that carry nothing but the fleet.
	PrivateNetwork bool `json:"private_network,omitempty"`
}

// Check reports a missing or contradictory field.
func (s *Settings) Check() error {
	if s.PrivateNetwork {
		if *s != (Settings{
			PrivateNetwork: true,
		}) {
			return merry.New("private_network: goes with no other field")
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

// Peer is who is at the other end.
type Peer struct {
	Role Role
	Name string
}

// Credential is a process's own proof and its means to check others.
type Credential struct {
	self  Peer
	token string
	cert  *tls.Certificate
	pool  *x509.CertPool
	// private tells that the network admits nobody else.
	private bool
}

// Load reads the files the settings name. Self is used where no certificate
// tells the role.
func Load(s Settings, self Peer) (*Credential, error) {
	c := &Credential{
		self:    self,
		private: s.PrivateNetwork,
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

// CheckListen refuses plain TCP on any address that is not loopback.
func (c *Credential) CheckListen(address string) error {
	if c.cert != nil || c.private {
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

// Listen opens a listener for the fleet's own processes.
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

// Transport returns a new transport to the fleet's own processes. It never
// repeats a request by itself: every request gets a connection that no request
// has used before, unless reuse is asked for by a caller whose requests may be
// repeated.
func (c *Credential) Transport(reuse bool) *http.Transport {
	t := &http.Transport{
		DialContext: (&net.Dialer{
			Timeout: dialTimeout,
		}).DialContext,
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

// SetAuthHeaders adds this process's proof to a request.
func (c *Credential) SetAuthHeaders(r *http.Request) {
	if c.cert != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	r.Header.Set(roleHeader, string(c.self.Role))
	r.Header.Set(nameHeader, c.self.Name)
}

// signer is a round tripper that signs requests.
type signer struct {
	credential *Credential
	next       http.RoundTripper
}

// RoundTrip signs a copy of the request and sends it.
func (s signer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	s.credential.SetAuthHeaders(r)
	return s.next.RoundTrip(r)
}

// Client returns an HTTP client whose requests carry the proof and may use a
// connection again.
func (c *Credential) Client() *http.Client {
	return &http.Client{
		Transport: signer{
			credential: c,
			next:       c.Transport(true),
		},
	}
}

// Peer returns who sent a request, and false when it carries no valid proof.
func (c *Credential) Peer(r *http.Request) (Peer, bool) {
	if c.cert == nil {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !c.private && (!ok || subtle.ConstantTimeCompare([]byte(token), []byte(c.token)) != 1) {
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

// Require lets only peers of the given roles reach the handler.
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
