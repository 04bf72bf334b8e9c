package httpdrain

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/internal/pipenet"
)

// A drain ends the read of a body that the handler has left unread, and of no other: a
// handler may wait for the rest for longer.
func TestDrainWithAHalfReadBody(t *testing.T) {
	const pause = 3 * bodyTail
	cases := []struct {
		name    string
		path    string
		longest time.Duration
	}{
		{"read by the handler", "/read", pause + quietTime + pollInterval},
		{"left unread", "/leave", bodyTail + pollInterval},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := pipenet.New()
				lis := network.Listen()
				s := New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/read" {
						_, _ = io.Copy(w, r.Body) // the test compares the response
						return
					}
					w.WriteHeader(http.StatusNotFound)
				}))
				go func() { _ = s.Serve(lis) }() // returns with the drain
				caller, err := network.Dial(t.Context(), "tcp", lis.Addr().String())
				require.NoError(t, err)
				defer caller.Close()
				begin := time.Now()
				go func() {
					// the server may close the connection before the end of the body
					_, _ = io.WriteString(caller, "POST "+c.path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo")
					time.Sleep(pause)
					_, _ = io.WriteString(caller, "dy")
				}()
				synctest.Wait()
				took := make(chan time.Duration, 1)
				go func() {
					s.Drain(t.Context())
					took <- time.Since(begin)
				}()
				resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
				require.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				if c.path == "/read" {
					require.Equal(t, "body", string(body))
				} else {
					require.Equal(t, http.StatusNotFound, resp.StatusCode)
				}
				require.LessOrEqual(t, <-took, c.longest)
				time.Sleep(pause) // the caller's goroutine ends
			})
		})
	}
}
