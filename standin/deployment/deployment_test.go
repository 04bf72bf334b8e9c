package deployment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/lacewingsaddle/lacewingsaddle/platform"
	"github.com/lacewingsaddle/lacewingsaddle/platform/entryhost"
	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// waitTimeout bounds the tests' waits. No result depends on its value.
	waitTimeout  = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	// stopGrace is the hosts' grace period.
	stopGrace = 3 * time.Second
)

// networks is the number of loopback networks among which test processes choose, so that
// those which run at the same time rarely share one.
const networks = 250

// ip returns the loopback address of the i-th participant.
func ip(i int) string { return fmt.Sprintf("127.211.%d.%d", os.Getpid()%networks, i) }

func loopback(i, port int) string { return fmt.Sprintf("%s:%d", ip(i), port) }

// newDeployment starts a deployment of three servers and returns the address at which it
// is served.
func newDeployment(t *testing.T) (*Deployment, string) {
	d, err := New([]string{loopback(101, 7001), loopback(102, 7001), loopback(103, 7001)})
	require.NoError(t, err)
	server := httptest.NewServer(d.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(d.Close)
	return d, strings.TrimPrefix(server.URL, "http://")
}

// startHost starts the i-th entry host and returns its address for callers.
func startHost(t *testing.T, i int, store string) string {
	text := platformtest.Settings{
		Host:      fmt.Sprintf("entry-%d", i),
		IP:        ip(i),
		Traffic:   loopback(i, 7111),
		Readiness: loopback(i, 7112),
		Peer:      loopback(i, 7113),
		Seed:      loopback(1, 7113),
		Store:     store,
		StopGrace: stopGrace,
	}.YAML()
	settings, err := platform.ParseSettings([]byte(text))
	require.NoError(t, err)
	h := entryhost.New(settings, zap.NewNop())
	require.NoError(t, h.Start(context.Background()))
	t.Cleanup(func() { require.NoError(t, h.Stop(context.Background())) })
	return settings.Traffic
}

// order sends an order and returns the status and the server that answered.
func order(t *testing.T, host, id string) (int, string) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+host+"/book/wheelset", strings.NewReader("one"))
	require.NoError(t, err)
	req.Host, req.Close = RequestHost, true
	platformtest.SetRequestHeaders(req.Header, id, 30000, time.Second)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	server := platformtest.AnsweredBy(resp.Header)
	if resp.StatusCode == http.StatusOK {
		require.Equal(t, platformtest.ResponseBody(server, id, "one"), string(body))
	}
	return resp.StatusCode, server
}

// orderUntil sends orders to a host until one is answered by a server that fits.
func orderUntil(t *testing.T, host, name string, fits func(server string) bool) string {
	n := 0
	var server string
	require.Eventually(t, func() bool {
		n++
		var status int
		status, server = order(t, host, fmt.Sprint(name, "-", n))
		return status == http.StatusOK && fits(server)
	}, waitTimeout, pollInterval)
	return server
}

// call makes a call that injects a fault and returns its status.
func call(t *testing.T, address, path string) int {
	resp, err := http.Post("http://"+address+"/-/"+path, "", nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	http.DefaultClient.CloseIdleConnections()
	return resp.StatusCode
}

// TestWalk takes README's walk with hosts in this process.
func TestWalk(t *testing.T) {
	_, address := newDeployment(t)
	first, second := startHost(t, 1, address), startHost(t, 2, address)
	owner := orderUntil(t, first, "first", func(string) bool { return true })
	require.Equal(t, owner, orderUntil(t, second, "second", func(string) bool { return true }))
	require.Equal(t, http.StatusNoContent, call(t, address, "servers/"+owner+"/leave"))
	other := func(server string) bool { return server != owner }
	next := orderUntil(t, first, "moved", other)
	require.Equal(t, next, orderUntil(t, second, "moved too", other))
	require.Equal(t, http.StatusNoContent, call(t, address, "servers/"+owner+"/crash"))
	require.Equal(t, http.StatusNoContent, call(t, address, "servers/"+next+"/crash"))
	orderUntil(t, second, "lost", func(server string) bool { return server != next && other(server) })
}

func TestFaultsAreInjected(t *testing.T) {
	d, address := newDeployment(t)
	steps := []struct {
		path   string
		status int
	}{
		{"servers/s-1/start", http.StatusConflict},
		{"servers/s-1/full?for=soon", http.StatusConflict},
		{"servers/s-1/full?for=1m", http.StatusNoContent},
		{"servers/s-1/crash", http.StatusNoContent},
		{"servers/s-1/leave", http.StatusConflict},
		{"servers/s-1/full", http.StatusConflict},
		{"servers/s-1/start", http.StatusNoContent},
		{"servers/s-4/crash", http.StatusNotFound},
		{"store/odd", http.StatusNotFound},
		{"store/down", http.StatusNoContent},
	}
	for _, s := range steps {
		require.Equal(t, s.status, call(t, address, s.path), s.path)
	}
	require.NotNil(t, d.server("s-1").Backend())
	const read = "/log-read?topic=keyed.op&from=0"
	require.Equal(t, http.StatusServiceUnavailable, storeStatus(t, address, read))
	require.Equal(t, http.StatusNoContent, call(t, address, "store/none"))
	require.Equal(t, http.StatusOK, storeStatus(t, address, read))
}

func storeStatus(t *testing.T, address, path string) int {
	resp, err := http.Get("http://" + address + path)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	http.DefaultClient.CloseIdleConnections()
	return resp.StatusCode
}

// The settings files of README's walk must be the platform's.
func TestSettingsOfTheWalk(t *testing.T) {
	for i := 1; i <= 2; i++ {
		data, err := os.ReadFile(fmt.Sprintf("../../examples/walk/entry-%d.yaml", i))
		require.NoError(t, err)
		s, err := platform.ParseSettings(data)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("entry-%d", i), s.Host)
		require.Equal(t, fmt.Sprintf("127.0.0.%d:7111", i), s.Traffic)
		require.Equal(t, "127.0.0.1:7000", s.Store)
	}
}

func TestAnAddressInUseIsReported(t *testing.T) {
	_, err := New([]string{loopback(110, 7001), loopback(110, 7001)})
	require.ErrorContains(t, err, "start s-2")
}
