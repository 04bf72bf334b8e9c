package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/cluster"
	"github.com/lacewingsaddle/lacewingsaddle/routetable"
)

// Guards against a changed request: a body in chunks that exceeds its limit was cut off there
// and passed on with a regular end.
func TestBodyInChunksBeyondItsLimitIsNotCutOff(t *testing.T) {
	for _, limit := range []int{0, 1000, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1, 8 << 20} {
		for _, over := range []int{0, 1, 100 << 10} {
			t.Run(fmt.Sprintf("limit %d, %d beyond", limit, over), func(t *testing.T) {
				got, ran := sendUpload(t, int64(limit), bytes.NewReader(make([]byte, limit+over)))
				if over > 0 {
					require.Equal(t, http.StatusRequestEntityTooLarge, got)
					require.False(t, ran)
				} else {
					require.Equal(t, http.StatusOK, got)
					require.True(t, ran)
				}
			})
		}
	}
}

// Guards against an upload that held its server's place until its deadline: the rest of its
// body could not be read, and the server waited for it.
func TestUploadWhoseBodyFailsEndsAtOnce(t *testing.T) {
	body := io.MultiReader(bytes.NewReader(make([]byte, 2*maxBufferedBody)), iotest.ErrReader(errors.New("malformed chunk")))
	got, ran := sendUpload(t, 8<<20, body)
	require.Equal(t, http.StatusBadRequest, got)
	require.False(t, ran)
}

// sendUpload sends a body in chunks, to servers that run a request once its whole body has
// arrived. The response comes at once. It returns its status and whether the request ran.
func sendUpload(t *testing.T, limit int64, body io.Reader) (status int, ran bool) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t)
		defer b.close()
		b.control.change(func(v *cluster.View) {
			routes := *v.Routes
			routes.Limits = routetable.Limits{BodyBytes: limit}
			v.Routes = &routes
		})
		b.servers["o1"], b.servers["o2"] = b.runWhole, b.runWhole
		req := httptest.NewRequest(http.MethodPost, "/scan/1", body)
		req.Host, req.ContentLength = "shop.example", -1
		req.Header.Set("X-Id", "r1")
		begin := time.Now()
		w := b.do(req)
		require.NotNil(t, w)
		require.Less(t, time.Since(begin), 100*time.Millisecond)
		status, ran = w.Code, b.runCount("r1") > 0
	})
	return status, ran
}

// runWhole is a sound server: it runs a request once its whole body has arrived.
func (b *testGateway) runWhole(conn net.Conn, req *http.Request) bool {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	b.recordRun(req)
	return reply(conn, req, http.StatusOK, "X-Signature: ok\r\n", "")
}
