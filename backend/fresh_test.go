package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

// pipeDialer opens in-memory connections to a server that answers every request.
func pipeDialer(dials *int) Dialer {
	return func(context.Context, string, string) (net.Conn, error) {
		*dials++
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			r := bufio.NewReader(far)
			for {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}()
		return near, nil
	}
}

func pipeServer(dial Dialer, p profile.Profile) (*Set, *Server) {
	set := NewSet(dial)
	service := profile.Service{Name: "s", Servers: []profile.Server{{ID: "a", Address: "192.0.2.1:80"}}}
	return set, set.Servers(service, p)[0]
}

func roundTrip(s *Server) error {
	req, err := http.NewRequest(http.MethodPost, "http://192.0.2.1:80/", nil)
	if err != nil {
		return err
	}
	resp, err := s.RoundTrip(context.Background(), req, nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// TestIdleConnectionsAreNotUsedAfterMaxIdleTime checks that a request reuses an
// idle connection before maxIdleTime and dials a new one after it.
func TestIdleConnectionsAreNotUsedAfterMaxIdleTime(t *testing.T) {
	cases := []struct {
		idle  time.Duration
		dials int
	}{{maxIdleTime - time.Millisecond, 1}, {maxIdleTime + time.Millisecond, 2}}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			dials := 0
			set, s := pipeServer(pipeDialer(&dials), profile.Default("p"))
			require.NoError(t, roundTrip(s))
			time.Sleep(c.idle)
			require.NoError(t, roundTrip(s))
			require.Equal(t, c.dials, dials)
			set.Close()
		})
	}
}

// TestConnectionsStayWithinThisHostsShare sends more concurrent requests than the
// host's share of the server's connections. The excess must fail as overloaded.
func TestConnectionsStayWithinThisHostsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := profile.Default("p")
		p.Limits.Connections = 9
		set, s := pipeServer(nil, p)
		release := make(chan struct{})
		s.dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				<-release
				_ = far.Close()
			}()
			return near, nil
		}
		s.SetMembers(3)
		const calls = 5
		errs := make(chan error, calls)
		for range calls {
			go func() { errs <- roundTrip(s) }()
		}
		synctest.Wait()
		require.Equal(t, 3, s.Connections())
		for range calls - 3 {
			require.Equal(t, fault.Overloaded, fault.KindOf(<-errs))
		}
		close(release)
		for range 3 {
			require.Error(t, <-errs)
		}
		set.Close()
	})
}
