// Package tlstest issues certificates for tests.
package tlstest

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
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Usage lists the extended key usages of a certificate.
type Usage []x509.ExtKeyUsage

var (
	HostUsage     = Usage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	OperatorUsage = Usage{x509.ExtKeyUsageClientAuth}
)

const validity = 24 * time.Hour

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	key := newKey(t)
	template := template(1)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &Authority{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// Issue issues a certificate for 127.0.0.1, writes it, its key and the authority's
// certificate into dir and returns their paths.
func (a *Authority) Issue(t testing.TB, dir string, usage Usage) (cert, key, ca string) {
	t.Helper()
	private := newKey(t)
	leaf := template(2)
	leaf.ExtKeyUsage = usage
	leaf.KeyUsage = x509.KeyUsageDigitalSignature
	leaf.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	der, err := x509.CreateCertificate(rand.Reader, leaf, a.cert, &private.PublicKey, a.key)
	require.NoError(t, err)
	raw, err := x509.MarshalECPrivateKey(private)
	require.NoError(t, err)
	cert = write(t, dir, "cert.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	key = write(t, dir, "key.pem", pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}))
	ca = write(t, dir, "ca.pem", a.pem)
	return cert, key, ca
}

func template(serial int64) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "test"},
		NotBefore:    now.Add(-validity),
		NotAfter:     now.Add(validity),
	}
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	return key
}

func write(t testing.TB, dir, name string, data []byte) string {
	t.Helper()
	path := filepath.Join(dir, name)
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}
