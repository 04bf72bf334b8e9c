package tlsconfig

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/tlsconfig/tlstest"
)

func loadSource(t *testing.T, ca *tlstest.Authority, usage tlstest.Usage) *Source {
	t.Helper()
	cert, key, root := ca.Issue(t, t.TempDir(), usage)
	s, err := Load(Files{Cert: cert, Key: key, CA: root})
	require.NoError(t, err)
	return s
}

// exchange sends a byte from client to server and reads it back. It returns the
// error of the client.
func exchange(t *testing.T, server *tls.Config, client *Source) error {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	require.NoError(t, err)
	defer l.Close()
	go echoOnce(l)
	conn, err := client.Dial(t.Context(), l.Addr().String())
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err = io.ReadFull(conn, make([]byte, 1))
	return err
}

func echoOnce(l net.Listener) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.CopyN(conn, conn, 1)
}

func TestWhoMayConnect(t *testing.T) {
	ca, foreign := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	server := loadSource(t, ca, tlstest.HostUsage)
	cases := []struct {
		name   string
		config *tls.Config
		client *Source
		ok     bool
	}{
		{"a host to its peer", server.PeerServerConfig(), loadSource(t, ca, tlstest.HostUsage), true},
		{"an operator to a peer address", server.PeerServerConfig(), loadSource(t, ca, tlstest.OperatorUsage), false},
		{"an operator to the admin address", server.AdminServerConfig(), loadSource(t, ca, tlstest.OperatorUsage), true},
		{"a host of another authority", server.PeerServerConfig(), loadSource(t, foreign, tlstest.HostUsage), false},
		{"a host to a foreign server", loadSource(t, foreign, tlstest.HostUsage).PeerServerConfig(), loadSource(t, ca, tlstest.HostUsage), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := exchange(t, c.config, c.client)
			require.Equal(t, c.ok, err == nil, "%v", err)
		})
	}
}

func TestReloadTakesNewKeysAndKeepsOldOnesOnErrors(t *testing.T) {
	old, fresh := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	dir := t.TempDir()
	cert, key, root := old.Issue(t, dir, tlstest.HostUsage)
	server, err := Load(Files{Cert: cert, Key: key, CA: root})
	require.NoError(t, err)
	config := server.PeerServerConfig()
	require.NoError(t, exchange(t, config, loadSource(t, old, tlstest.HostUsage)))

	require.NoError(t, os.WriteFile(cert, []byte("broken"), 0o600))
	require.Equal(t, fault.BadSettings, fault.KindOf(server.Reload()))
	require.NoError(t, exchange(t, config, loadSource(t, old, tlstest.HostUsage)))

	fresh.Issue(t, dir, tlstest.HostUsage)
	require.NoError(t, server.Reload())
	require.Error(t, exchange(t, config, loadSource(t, old, tlstest.HostUsage)))
	require.NoError(t, exchange(t, config, loadSource(t, fresh, tlstest.HostUsage)))
	changed, err := server.ReloadIfChanged()
	require.NoError(t, err)
	require.False(t, changed)
}
