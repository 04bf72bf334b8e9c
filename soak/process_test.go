package soak

import (
	"net"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// A host in this process must end on both signals without leaving anything behind (see
// TestMain), so that it can start again at its addresses.
func TestLocalProcessEndsAndStartsAgain(t *testing.T) {
	w := newWorld()
	w.cfg.Dir = t.TempDir()
	store := httptest.NewServer(w.store)
	defer store.Close()
	defer w.store.Close()
	h, err := newHost(w, 0, strings.TrimPrefix(store.URL, "http://"))
	require.NoError(t, err)
	defer h.close()
	w.operator.publish()
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL, syscall.SIGTERM} {
		require.NoError(t, h.launch())
		c, err := net.Dial("tcp", h.trafficAddr)
		require.NoError(t, err)
		h.signal(syscall.SIGHUP, false)
		h.signal(s, true)
		<-h.done()
		require.NoError(t, c.Close())
		_, err = net.Dial("tcp", h.trafficAddr)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
	require.Equal(t, int64(3), h.launches.Load())
	require.Empty(t, w.report.Violations)
}

// Only a tour has faults that a host in this process can take.
func TestHostsInThisProcessNeedATour(t *testing.T) {
	_, err := Run(t.Context(), Config{Work: Faults})
	require.Equal(t, fault.BadSettings, fault.KindOf(err))
}
