package credential

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
)

// Lifetimes of certificates.
const (
	AuthorityLifetime   = 10 * 365 * 24 * time.Hour
	CertificateLifetime = 2 * 365 * 24 * time.Hour
)

// serialBits is the size of a random serial number.
const serialBits = 120

// The files of an authority.
const (
	AuthorityCertFile = "ca.crt"
	AuthorityKeyFile  = "ca.key"
)

// Authority is the certificate authority of one fleet.
type Authority struct {
	folder string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
}

// CreateAuthority generates an authority and writes its key and certificate to an
// existing folder. It returns an error if the folder already holds one, which is
// not replaced.
func CreateAuthority(folder string, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, merry.Prepend(err, "generate the authority's key")
	}
	template, err := newTemplate("baobabpaddle authority", "", now, AuthorityLifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, merry.Prepend(err, "sign the authority's certificate")
	}
	if err := writePair(folder, "ca", der, key); err != nil {
		return nil, err
	}
	return OpenAuthority(folder)
}

// OpenAuthority reads the authority that CreateAuthority wrote to the folder.
func OpenAuthority(folder string) (*Authority, error) {
	certPEM, err := os.ReadFile(filepath.Join(folder, AuthorityCertFile))
	if err != nil {
		return nil, merry.Prepend(err, "read the authority's certificate")
	}
	keyPEM, err := os.ReadFile(filepath.Join(folder, AuthorityKeyFile))
	if err != nil {
		return nil, merry.Prepend(err, "read the authority's key")
	}
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, merry.New("authority: want PEM in the certificate file and in the key file")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, merry.Prepend(err, "parse the authority's certificate")
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, merry.Prepend(err, "parse the authority's key")
	}
	return &Authority{
		folder: folder,
		cert:   cert,
		key:    key,
	}, nil
}

// Issue generates a key and a certificate for a peer that listens on the addresses
// and writes them to NAME.key and NAME.crt in the authority's folder. Existing files
// are not replaced and give an error. The certificate serves for both ends of a
// connection and is valid for CertificateLifetime.
func (a *Authority) Issue(peer Peer, addresses []net.IP, now time.Time) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return merry.Prepend(err, "generate the peer's key")
	}
	template, err := newTemplate(peer.Name, peer.Role, now, CertificateLifetime)
	if err != nil {
		return err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	template.IPAddresses = addresses
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return merry.Prepend(err, "sign the peer's certificate")
	}
	return writePair(a.folder, peer.Name, der, key)
}

// newTemplate returns a certificate without key usages. The name is the subject's
// common name, the role its organizational unit. It is valid from an hour before
// now, so that peers with a slower clock accept it, for lifetime after now.
func newTemplate(name string, role Role, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, merry.Prepend(err, "generate a serial number")
	}
	subject := pkix.Name{
		CommonName: name,
	}
	if role != "" {
		subject.OrganizationalUnit = []string{string(role)}
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(lifetime),
	}, nil
}

// writePair writes a certificate and its key. Existing files are not replaced and
// give an error.
func writePair(folder, name string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return merry.Prepend(err, "encode the key")
	}
	if err := writePEM(filepath.Join(folder, name+".key"), "EC PRIVATE KEY", keyDER); err != nil {
		return err
	}
	return writePEM(filepath.Join(folder, name+".crt"), "CERTIFICATE", der)
}

// writePEM creates a PEM file of one block that only its owner can read.
func writePEM(path, kind string, der []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return merry.Prepend(err, "write PEM")
	}
	defer f.Close()
	block := &pem.Block{
		Type:  kind,
		Bytes: der,
	}
	return merry.Prepend(pem.Encode(f, block), "write PEM")
}
