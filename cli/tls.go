package cli

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// transport returns the transport with the operator's certificate, or nil when
// the arguments name no file. Errors are of kind BadSettings.
func (a *Arguments) transport() (http.RoundTripper, error) {
	if a.CA == "" && a.Cert == "" && a.Key == "" {
		return nil, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if a.CA != "" {
		pem, err := os.ReadFile(a.CA)
		if err != nil {
			return nil, fault.Wrap(fault.BadSettings, err, "read the CA certificates")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fault.Newf(fault.BadSettings, "%s holds no certificate", a.CA)
		}
	}
	if a.Cert != "" || a.Key != "" {
		pair, err := tls.LoadX509KeyPair(a.Cert, a.Key)
		if err != nil {
			return nil, fault.Wrap(fault.BadSettings, err, "read the operator's certificate")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return &http.Transport{TLSClientConfig: config}, nil
}
