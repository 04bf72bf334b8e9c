package backend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/detect"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

func chooseServers(n int) []*Server {
	set := NewSet(nil)
	p := profile.Default("p")
	service := profile.Service{Name: "mill-scheduler", Profile: "p"}
	for i := range n {
		id := fmt.Sprintf("server-%d", i)
		service.Servers = append(service.Servers, profile.Server{ID: id, Address: "127.0.0.1:1", Domain: "pampa"})
	}
	return set.Servers(service, p)
}

func failRequests(s *Server, now time.Time, n int) {
	for range n {
		s.Health.Observe(now, detect.Broken, time.Millisecond)
	}
}

// TestFailingServersAreEjectedWithinBounds checks that servers that fail requests
// are ejected, without regard to their health endpoints, and that at most a third
// of a service is.
func TestFailingServersAreEjectedWithinBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	servers := chooseServers(8)
	failRequests(servers[0], now, failuresToEject-1)
	require.Len(t, healthy(now, servers), 8)
	failRequests(servers[0], now, 1)
	require.Len(t, healthy(now, servers), 7)
	failRequests(servers[1], now, failuresToEject)
	require.Len(t, healthy(now, servers), 6)
	failRequests(servers[2], now, failuresToEject)
	require.Len(t, healthy(now, servers), 8, "with more than a third failing, no server is ejected")
	later := now.Add(baseEjection)
	require.Len(t, healthy(later, servers), 8)
	failRequests(servers[0], later, failuresToEject)
	require.True(t, servers[0].Health.Ejected(later.Add(2*baseEjection-1)), "the second ejection is longer")
	require.False(t, servers[0].Health.Ejected(later.Add(2*baseEjection)))
}

// TestChoiceAvoidsSlowServers checks that one slow server of eight gets fewer
// requests than a random or round-robin choice would send it.
func TestChoiceAvoidsSlowServers(t *testing.T) {
	now := time.Unix(1000, 0)
	servers := chooseServers(8)
	for i, s := range servers {
		latency := 2 * time.Millisecond
		if i == 3 {
			latency = 40 * time.Millisecond
		}
		s.Health.Observe(now, detect.Answered, latency)
	}
	rnd := rand.New(rand.NewPCG(3, 3))
	const picks = 8000
	slow := 0
	for range picks {
		if Choose(now, servers, "pampa", rnd.IntN) == servers[3] {
			slow++
		}
	}
	// Both candidates are the slow server in 1 of 64 choices. A random or
	// round-robin choice would send it 1 request in 8.
	require.InDelta(t, picks/64, slow, picks/64)
}

func TestOwnDomainFirstAndSlowStart(t *testing.T) {
	now := time.Unix(1000, 0)
	servers := chooseServers(2)
	servers[1].Spec.Domain = "amarillo"
	for _, s := range servers {
		s.Health.Observe(now, detect.Answered, time.Millisecond)
	}
	require.Less(t, cost(now, servers[0], "pampa"), cost(now, servers[1], "pampa"))
	servers[0].Health.BeginSlowStart(now)
	require.Greater(t, cost(now, servers[0], "pampa"), cost(now, servers[1], "pampa"))
	warm := now.Add(servers[0].Health.slowStart)
	require.Less(t, cost(warm, servers[0], "pampa"), cost(warm, servers[1], "pampa"))
}
