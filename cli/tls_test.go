package cli

import (
	"context"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/tlsconfig"
	"github.com/lacewingsaddle/lacewingsaddle/tlsconfig/tlstest"
)

func TestOperatorsCertificateIsUsed(t *testing.T) {
	authority := tlstest.NewAuthority(t)
	hostCert, hostKey, ca := authority.Issue(t, t.TempDir(), tlstest.HostUsage)
	cert, key, _ := authority.Issue(t, t.TempDir(), tlstest.OperatorUsage)
	source, err := tlsconfig.Load(tlsconfig.Files{Cert: hostCert, Key: hostKey, CA: ca})
	require.NoError(t, err)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte("{}"))
	}))
	server.TLS = source.AdminServerConfig()
	server.StartTLS()
	defer server.Close()
	cases := []struct {
		name string
		args Arguments
		kind fault.Kind // empty: the request succeeds
	}{
		{"with a certificate", Arguments{CA: ca, Cert: cert, Key: key}, ""},
		{"without a certificate", Arguments{CA: ca}, fault.PeerUnavailable},
		{"without the authority", Arguments{Cert: cert, Key: key}, fault.PeerUnavailable},
		{"missing file", Arguments{CA: filepath.Join(t.TempDir(), "none")}, fault.BadSettings},
		{"key is not a key", Arguments{CA: ca, Cert: cert, Key: ca}, fault.BadSettings},
	}
	for _, tc := range cases {
		tc.args.Admin = server.URL
		s := &session{args: &tc.args, env: Env{Getenv: func(string) string { return "" }}}
		err := s.connect()
		if err == nil {
			_, err = s.client.Status(context.Background())
		}
		if tc.kind == "" {
			require.NoError(t, err, tc.name)
			continue
		}
		require.Equal(t, tc.kind, fault.KindOf(err), "%s: %v", tc.name, err)
	}
}
