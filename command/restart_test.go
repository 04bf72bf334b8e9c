package command_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/internal/fleet"
)

// Hosts must route again after every earlier member has been replaced, whether
// by planned stops or crashes, one by one or together.
func TestHostsRouteAfterEveryEarlierMemberIsGone(t *testing.T) {
	cases := []struct {
		name    string
		restart func(t *testing.T, f *fleet.Fleet)
	}{
		{"planned stops one by one", func(t *testing.T, f *fleet.Fleet) {
			for i := range f.Hosts {
				require.NoError(t, f.Hosts[i].Loop.Leave(t.Context()))
				f.Crash(i)
				f.Start(i)
				time.Sleep(convergenceTime)
			}
		}},
		{"crashes one by one", func(_ *testing.T, f *fleet.Fleet) {
			for i := range f.Hosts {
				f.Crash(i)
				f.Start(i)
				time.Sleep(convergenceTime)
			}
		}},
		{"crashes together", func(_ *testing.T, f *fleet.Fleet) {
			for i := range f.Hosts {
				f.Crash(i)
			}
			time.Sleep(convergenceTime)
			for i := range f.Hosts {
				f.Start(i)
			}
		}},
		{"planned stops together", func(t *testing.T, f *fleet.Fleet) {
			for i := range f.Hosts {
				require.NoError(t, f.Hosts[i].Loop.Leave(t.Context()))
			}
			for i := range f.Hosts {
				f.Crash(i)
				f.Start(i)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			run(t, 5, arrieta, 4*time.Millisecond, func(t *testing.T, f *fleet.Fleet) {
				publishAll(t, f, "arrieta/profiles/inventario.yaml")
				tc.restart(t, f)
				time.Sleep(time.Minute)
				for i, h := range f.Hosts {
					st := h.Query.Status()
					require.True(t, st.MayRoute, "host %d has %d members, %d records applied, %d in force", i, st.Members, st.Applied, st.Active)
					require.Zero(t, st.Services[0].Held, "host %d", i)
				}
			})
		})
	}
}
