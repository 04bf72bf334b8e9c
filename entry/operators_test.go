package entry

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/query"
	"github.com/lacewingsaddle/lacewingsaddle/routing"
	"github.com/lacewingsaddle/lacewingsaddle/steps"
)

func TestARequestCanBeExplainedByItsID(t *testing.T) {
	b := newFixture(t)
	h := b.startHost(t, b.settings(t, "entry-1"))
	defer h.Kill()
	waitReady(t, h)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+h.Settings.Listen+"/orders/k", nil)
	require.NoError(t, err)
	resp, err := b.caller.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	id := resp.Header.Get(routing.HeaderRequestID)
	status, body := b.get(t, "http://"+h.Settings.Admin+"/v1/requests/"+id, "")
	require.Equal(t, http.StatusOK, status, body)
	var explained query.RequestSteps
	require.NoError(t, json.Unmarshal([]byte(body), &explained))
	require.Len(t, explained.Steps, 2)
	sent, finished := explained.Steps[0], explained.Steps[1]
	require.Equal(t, steps.Sent, sent.Name)
	require.Equal(t, "orders", sent.Service)
	require.Equal(t, "k", sent.Key)
	require.Equal(t, "s1", sent.Server)
	require.NotZero(t, sent.Token)
	require.Equal(t, steps.Finished, finished.Name)
	require.Equal(t, fault.Answered, finished.Outcome)
}
