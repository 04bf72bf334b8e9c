package routing

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/pipenet"
)

// TestRetriesStayWithinTheirBudget counts the requests that reach a server that
// sheds every request, or closes the connection of every one. Each close costs a
// connection, so the dial rate limits those retries as well.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	failures := map[string]http.HandlerFunc{
		"sheds": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderNotRun, reasonOverloaded)
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"cuts off": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	}
	const requests = 200
	for name, way := range failures {
		t.Run(name, func(t *testing.T) {
			var reached atomic.Int64
			s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				reached.Add(1)
				way(w, r)
			})
			p := testProfile()
			p.Rules[0].Timeout = 10 * time.Second
			f := newFixture(t, fixtureOptions{addr: hostPort(s), profile: p})
			for range requests {
				resp, _ := get(t, f.http.URL+"/stock/lookup/k", nil)
				require.NotEqual(t, string(fault.Answered), resp.Header.Get(HeaderOutcome))
			}
			most := requests*(1+p.Retry.Budget) + budgetReserve
			t.Logf("amplification %.2f", float64(reached.Load())/requests)
			require.LessOrEqual(t, float64(reached.Load()), most)
			if name == "sheds" {
				require.Greater(t, reached.Load(), int64(requests), "some requests must be retried")
			}
		})
	}
}

// TestHedgedLookupTakesTheFirstAnswer blocks the first attempt until it is
// canceled: the answer must come from the second.
func TestHedgedLookupTakesTheFirstAnswer(t *testing.T) {
	var n atomic.Int64
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, "second")
	})
	p := testProfile()
	p.Rules[0].Hedge = true
	p.Rules[0].Timeout = time.Minute
	f := newFixture(t, fixtureOptions{addr: hostPort(s), profile: p})
	_, body := get(t, f.http.URL+"/stock/lookup/k", nil)
	require.Equal(t, "second", body)
	require.EqualValues(t, 2, n.Load())
}

func TestQuantile(t *testing.T) {
	var q latencyQuantile
	require.Equal(t, initialHedgeDelay, q.estimate())
	for i := range 1000 {
		q.add(time.Duration(i) * 100 * time.Microsecond)
	}
	require.InEpsilon(t, 95*time.Millisecond, q.estimate(), 0.25)
}

// A lookup that may have run is not answered "not run" since its retry could not be
// sent, with and without hedging.
func TestRetryDoesNotHideAnAttemptThatRan(t *testing.T) {
	for _, at := range []faultPoint{pointOtherID, pointMidAnswer, pointLastByte, pointMidBody} {
		for _, hedged := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/hedged=%v", at, hedged), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { retryThatIsNotSent(t, at, hedged) })
			})
		}
	}
}

func retryThatIsNotSent(t *testing.T, at faultPoint, hedged bool) {
	network := pipenet.New()
	s := newFaultServerOn(t, network, false)
	s.arm(at)
	var dials atomic.Int64
	once := func(ctx context.Context, kind, addr string) (net.Conn, error) {
		if dials.Add(1) > 1 {
			return nil, syscall.ECONNREFUSED
		}
		return network.Dial(ctx, kind, addr)
	}
	p := testProfile()
	p.Rules[0].Hedge = hedged
	f := newFixture(t, fixtureOptions{addr: s.addr(), profile: p, echoes: true, network: network, dial: once})
	order := nextOrder()
	lookup := requestCase{name: "lookup", method: http.MethodGet, path: "/stock/lookup/k", body: "query"}
	outcome, _ := lookup.call(t, f, order)
	require.Equal(t, fault.Unknown, outcome)
	require.Greater(t, dials.Load(), int64(1), "it was tried again")
}
