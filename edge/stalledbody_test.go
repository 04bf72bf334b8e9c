package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// stalledBody is a request of which the end of the body never arrives.
type stalledBody struct {
	name string
	path string
	head string        // its last lines, and what arrives of the body
	at   time.Duration // of its arrival, counted from the stop signal
	want int
}

// stallMoment is after a stopping host has begun to refuse requests.
const stallMoment = balancerDelay + lateArrivals + 20*time.Millisecond

var stalledBodies = []stalledBody{
	{"refused", "/order", "Content-Length: 4\r\n\r\nbo", stallMoment, http.StatusServiceUnavailable},
	{"refused, long", "/scan", fmt.Sprintf("Content-Length: %d\r\n\r\nbo", uploadBytes), stallMoment, http.StatusServiceUnavailable},
	{"refused, in chunks", "/scan", "Transfer-Encoding: chunked\r\n\r\n4\r\nbo", stallMoment, http.StatusServiceUnavailable},
	{"refused, after much of it", "/scan", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 200<<10, strings.Repeat("u", 100<<10)), stallMoment, http.StatusServiceUnavailable},
	{"without a route, before the stop", "/nowhere", "Content-Length: 4\r\n\r\nbo", -time.Second, http.StatusNotFound},
	{"without a route, in chunks, before the stop", "/nowhere", "Transfer-Encoding: chunked\r\n\r\n4\r\nbo", -time.Second, http.StatusNotFound},
	{"without a route, as the stop begins", "/nowhere", "Content-Length: 4\r\n\r\nbo", 0, http.StatusNotFound},
}

// Guards against a stop that lasted to the end of its plan, as net/http waited for the rest
// of the body of a request that the host had answered already, or would answer after it.
func TestStalledBodyHoldsUpNoStop(t *testing.T) {
	const work = 700 * time.Millisecond
	// lastAnswer is when the host has answered its last request that is not stalled.
	lastAnswer := balancerDelay + work
	longest := lastAnswer + quietTime + time.Second
	for _, c := range stalledBodies {
		t.Run(c.name, func(t *testing.T) {
			var took time.Duration
			var status int
			synctest.Test(t, func(t *testing.T) {
				h := newStoppingHost(stopRow{standIn: answerAfter(work)})
				begin := time.Now().Add(2 * time.Second)
				go h.call(stopRequest{id: "last", path: "/order", body: bodies[1], at: begin.Add(balancerDelay)})
				got := make(chan int, 1)
				go func() { got <- h.stall(c, begin) }()
				time.Sleep(time.Until(begin))
				took = h.stop()
				status = <-got
				h.close()
				time.Sleep(requestTimeout) // the servers' goroutines end
			})
			require.Equal(t, c.want, status)
			require.LessOrEqual(t, took, longest)
		})
	}
}

// stall sends a request whose body doesn't end, and keeps its connection open until the
// host closes it. It returns the status of the response, 0 if there is none.
func (h *stoppingHost) stall(c stalledBody, begin time.Time) int {
	time.Sleep(time.Until(begin.Add(c.at)))
	conn, err := h.network.Dial(context.Background(), "tcp", h.addr)
	if err != nil {
		return 0
	}
	defer conn.Close()
	go writeRequest(conn, c)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body) // the status counts
	_, _ = io.Copy(io.Discard, conn)
	return resp.StatusCode
}

func writeRequest(conn net.Conn, c stalledBody) {
	// the host may close the connection before it has read all
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Id: stalled\r\nX-Key: 7\r\n%s", c.path, c.head)
}
