// Package tlsconfig provides the configurations of mutual TLS between entry hosts
// and on the admin address. Certificates and keys can be reloaded from their
// files; open connections continue with those they were established with.
package tlsconfig

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// handshakeTimeout is the timeout of connecting, including the TLS handshake.
const handshakeTimeout = time.Second

// Files holds the paths of the PEM files.
type Files struct {
	Cert string // this host's certificate, with the key usages server and client authentication
	Key  string
	CA   string // signs the certificates of peers and operators
}

// credentials holds the content of the files at one time.
type credentials struct {
	cert     tls.Certificate
	roots    *x509.CertPool
	modTimes modTimes
}

// modTimes holds the files' modification times, which show whether they have
// changed since they were read.
type modTimes [3]time.Time

// Source holds the credentials that were loaded last. It is safe for concurrent
// use.
type Source struct {
	files   Files
	current atomic.Pointer[credentials]
}

// Load returns a Source with the content of the files. Errors are of kind
// BadSettings.
func Load(files Files) (*Source, error) {
	s := &Source{files: files}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again. On an error the previous credentials stay in use.
func (s *Source) Reload() error {
	creds, err := readFiles(s.files)
	if err != nil {
		return err
	}
	s.current.Store(creds)
	return nil
}

// ReloadIfChanged reads the files again if the modification time of any of them
// has changed, and reports whether one had.
func (s *Source) ReloadIfChanged() (bool, error) {
	if s.files.modTimes() == s.current.Load().modTimes {
		return false, nil
	}
	return true, s.Reload()
}

func (f Files) modTimes() modTimes {
	var out modTimes
	for i, path := range []string{f.Cert, f.Key, f.CA} {
		if info, err := os.Stat(path); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

func readFiles(f Files) (*credentials, error) {
	creds := &credentials{modTimes: f.modTimes(), roots: x509.NewCertPool()}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, fault.Wrap(fault.BadSettings, err, "load the TLS certificate and key")
	}
	creds.cert = cert
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fault.Wrap(fault.BadSettings, err, "read the TLS CA certificates")
	}
	if !creds.roots.AppendCertsFromPEM(pem) {
		return nil, fault.Newf(fault.BadSettings, "%s holds no certificate", f.CA)
	}
	return creds, nil
}

// PeerServerConfig returns the configuration of the listener for peers. A peer's
// certificate must permit server authentication as well, so that operators'
// certificates are rejected.
func (s *Source) PeerServerConfig() *tls.Config {
	return s.serverConfig(func(state tls.ConnectionState) error {
		if slices.Contains(state.PeerCertificates[0].ExtKeyUsage, x509.ExtKeyUsageServerAuth) {
			return nil
		}
		return fault.New(fault.PermissionDenied, "the certificate does not permit server authentication, so it is not that of an entry host")
	})
}

// AdminServerConfig returns the configuration of the admin listener.
func (s *Source) AdminServerConfig() *tls.Config { return s.serverConfig(nil) }

func (s *Source) serverConfig(verify func(tls.ConnectionState) error) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := s.current.Load()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				Certificates:     []tls.Certificate{creds.cert},
				ClientCAs:        creds.roots,
				ClientAuth:       tls.RequireAndVerifyClientCert,
				VerifyConnection: verify,
			}, nil
		},
	}
}

// ClientConfig returns the configuration of a client connection to addr, an IP and
// a port. The server's certificate must be valid for that IP.
func (s *Source) ClientConfig(addr string) (*tls.Config, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fault.Wrap(fault.BadSettings, err, "split the address into host and port")
	}
	creds := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{creds.cert},
		RootCAs:      creds.roots,
		ServerName:   host,
	}, nil
}

// Dial connects to addr and completes the TLS handshake.
func (s *Source) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	config, err := s.ClientConfig(addr)
	if err != nil {
		return nil, err
	}
	d := tls.Dialer{Config: config}
	return d.DialContext(ctx, "tcp", addr)
}
