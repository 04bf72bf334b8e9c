package admin_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lacewingsaddle/lacewingsaddle/client"
	"github.com/lacewingsaddle/lacewingsaddle/command"
	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/internal/fleet"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
	"github.com/lacewingsaddle/lacewingsaddle/query"
	"github.com/lacewingsaddle/lacewingsaddle/steps"
)

// run starts three hosts and publishes the profile and service of grower-portal.
func run(t *testing.T, test func(t *testing.T, f *fleet.Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(3, []string{"amarillo", "dalhart", "hereford"}, 5*time.Millisecond, time.Hour)
		defer f.Stop()
		time.Sleep(5 * time.Second)
		data, err := os.ReadFile("../examples/hollister/profiles/grower-portal.yaml")
		require.NoError(t, err)
		docs, err := profile.Parse(data)
		require.NoError(t, err)
		c := f.Hosts[0].Client(fleet.WriteToken)
		for _, d := range docs {
			r, err := c.Publish(t.Context(), command.Publish{Metadata: command.Metadata{Reason: "first"}, Document: d.Source})
			require.NoError(t, err)
			_, err = c.Await(t.Context(), r, nil)
			require.NoError(t, err)
		}
		time.Sleep(5 * time.Second)
		test(t, f)
	})
}

func serve(h *fleet.Host, method, path, body string, change func(*http.Request)) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if method == http.MethodPost {
		r.Header.Set("Content-Type", "application/json")
	}
	if change != nil {
		change(r)
	}
	w := httptest.NewRecorder()
	h.Handler.ServeHTTP(w, r)
	return w
}

func bearer(token string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+token) }
}

func TestRoles(t *testing.T) {
	basic := func(r *http.Request) { r.SetBasicAuth("anyone", fleet.ReadToken) }
	basicWrite := func(r *http.Request) { r.SetBasicAuth("anyone", fleet.WriteToken) }
	form := func(r *http.Request) {
		bearer(fleet.WriteToken)(r)
		r.Header.Set("Content-Type", "text/plain")
	}
	cases := []struct {
		name, method, path string
		change             func(*http.Request)
		status             int
	}{
		{"read without a token", "GET", "/v1/status", nil, 401},
		{"read with a wrong token", "GET", "/v1/status", bearer("read-tokem"), 401},
		{"read with an empty token", "GET", "/v1/status", bearer(""), 401},
		{"read as a reader", "GET", "/v1/status", bearer(fleet.ReadToken), 200},
		{"read as a writer", "GET", "/v1/status", bearer(fleet.WriteToken), 200},
		{"page in a browser", "GET", "/", basic, 200},
		{"page without a token", "GET", "/", nil, 401},
		{"write without a token", "POST", "/v1/drain", nil, 403},
		{"write as a reader", "POST", "/v1/drain", bearer(fleet.ReadToken), 403},
		{"write by basic authentication", "POST", "/v1/drain", basicWrite, 403},
		{"write as a form", "POST", "/v1/drain", form, 400},
		{"write of an unknown server", "POST", "/v1/drain", bearer(fleet.WriteToken), 404},
		{"unknown path", "GET", "/v1/nothing", bearer(fleet.ReadToken), 404},
	}
	run(t, func(t *testing.T, f *fleet.Fleet) {
		for _, tc := range cases {
			body := `{"author":"x","reason":"y","service":"grower-portal","server":"none"}`
			w := serve(f.Hosts[0], tc.method, tc.path, body, tc.change)
			require.Equal(t, tc.status, w.Code, tc.name)
			if tc.status < 300 {
				continue
			}
			var p client.Problem
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &p), tc.name)
			require.Equal(t, fault.ProblemType, w.Header().Get("Content-Type"), tc.name)
			require.Equal(t, tc.status, p.Status, tc.name)
			require.NotContains(t, w.Body.String(), fleet.ReadToken, tc.name)
			require.NotContains(t, w.Body.String(), fleet.WriteToken, tc.name)
		}
	})
}

func TestWritesReadTheirBodyStrictly(t *testing.T) {
	run(t, func(t *testing.T, f *fleet.Fleet) {
		for _, body := range []string{"", "{", `{"sevice":"x"}`, `[]`} {
			for _, path := range []string{"publish", "rollback", "move", "pin", "unpin", "drain", "undrain", "forget"} {
				w := serve(f.Hosts[0], "POST", "/v1/"+path, body, bearer(fleet.WriteToken))
				require.Equal(t, 400, w.Code, "%s %q", path, body)
			}
		}
	})
}

func TestTheTokenNamesTheAuthor(t *testing.T) {
	run(t, func(t *testing.T, f *fleet.Fleet) {
		c := f.Hosts[1].Client(fleet.WriteToken)
		r, err := c.Drain(t.Context(), command.Drain{Metadata: command.Metadata{Author: "somebody else", Reason: "repair"}, Service: "grower-portal", Server: "grower-02"})
		require.NoError(t, err)
		a, err := c.Audit(t.Context(), query.AuditFilter{ID: r.ID})
		require.NoError(t, err)
		require.Len(t, a.Entries, 1)
		require.Equal(t, "ben", a.Entries[0].Author)
		require.Equal(t, "repair", a.Entries[0].Cause)
		require.Equal(t, "grower-portal/grower-02", a.Entries[0].Subject)
		require.Equal(t, query.Accepted, a.Entries[0].Verdict)
	})
}

func TestInvalidDocumentIsToldFieldByField(t *testing.T) {
	run(t, func(t *testing.T, f *fleet.Fleet) {
		c := f.Hosts[0].Client(fleet.WriteToken)
		_, err := c.Publish(t.Context(), command.Publish{Metadata: command.Metadata{Reason: "x"}, Document: "kind: profile\nname: P!\nrules: []\n"})
		require.Equal(t, fault.BadProfile, fault.KindOf(err))
		require.ErrorContains(t, err, `2:7: name: wrong value "P!"`)
		require.ErrorContains(t, err, "3:8: rules: missing field")
	})
}

func TestEveryReadAnswers(t *testing.T) {
	run(t, func(t *testing.T, f *fleet.Fleet) {
		h := f.Hosts[2]
		h.Steps.Record("req-1", steps.Step{Name: steps.Sent, Server: "grower-01"})
		c := h.Client(fleet.ReadToken)
		ctx := t.Context()
		st, err := c.Status(ctx)
		require.NoError(t, err)
		require.True(t, st.MayRoute)
		require.Equal(t, 1024, st.Services[0].Shards)
		hosts, err := c.Hosts(ctx)
		require.NoError(t, err)
		require.Len(t, hosts, 3)
		servers, err := c.Servers(ctx, "grower-portal")
		require.NoError(t, err)
		require.Len(t, servers, 23)
		owners, err := c.Owners(ctx, "grower-portal", "")
		require.NoError(t, err)
		require.Len(t, owners, 1024)
		e, err := c.Explain(ctx, "grower-portal", "grower 7/ñ")
		require.NoError(t, err)
		require.Equal(t, "grower 7/ñ", e.Key)
		req, err := c.Request(ctx, "req-1")
		require.NoError(t, err)
		require.Equal(t, "grower-01", req.Steps[0].Server)
		docs, err := c.Documents(ctx)
		require.NoError(t, err)
		require.Equal(t, []string{"grower-portal"}, docs[0].UsedBy)
		d, err := c.Document(ctx, profile.ProfileDocument, "growers", 0)
		require.NoError(t, err)
		require.Contains(t, d.Effective, "max_pins: 64")
		require.NotContains(t, d.Source, "max_pins")
		for _, err := range []error{
			errorOf(c.Document(ctx, profile.ProfileDocument, "none", 0)),
			errorOf(c.Document(ctx, profile.ProfileDocument, "growers", 99)),
			errorOf(c.History(ctx, profile.ServiceDocument, "none")),
			errorOf(c.Owners(ctx, "none", "")),
			errorOf(c.Request(ctx, "none")),
			errorOf(c.Progress(ctx, "none", 1)),
		} {
			require.Equal(t, fault.NotFound, fault.KindOf(err))
		}
	})
}

func errorOf[T any](_ T, err error) error { return err }

func TestReadsDuringALogOutage(t *testing.T) {
	run(t, func(t *testing.T, f *fleet.Fleet) {
		f.Log.SetOutage(true)
		c := f.Hosts[0].Client(fleet.WriteToken)
		e, err := c.Explain(t.Context(), "grower-portal", "grower-7")
		require.NoError(t, err, "the owner does not depend on the log")
		require.True(t, e.MayRoute)
		require.NotEmpty(t, e.TrailError)
		_, err = c.Audit(t.Context(), query.AuditFilter{})
		require.Equal(t, fault.LogUnavailable, fault.KindOf(err))
		_, err = c.Drain(t.Context(), command.Drain{Metadata: command.Metadata{Reason: "x"}, Service: "grower-portal", Server: "grower-02"})
		require.Equal(t, fault.LogUnavailable, fault.KindOf(err))
		w := serve(f.Hosts[0], "GET", "/", "", bearer(fleet.ReadToken))
		require.Equal(t, 200, w.Code)
		require.Contains(t, w.Body.String(), "log-unavailable")
	})
}

func TestPageShowsEveryPartAndEscapesText(t *testing.T) {
	run(t, func(t *testing.T, f *fleet.Fleet) {
		h := f.Hosts[0]
		c := h.Client(fleet.WriteToken)
		_, err := c.Move(t.Context(), command.Move{Metadata: command.Metadata{Reason: "<script>alert(1)</script>"}, Service: "grower-portal", Shard: 7, To: "grower-20"})
		require.NoError(t, err)
		h.Measures.Sample(h.Loop.Snapshot(), h.Loop.Now(), time.Second)
		w := serve(h, "GET", "/", "", bearer(fleet.ReadToken))
		body, err := io.ReadAll(w.Body)
		require.NoError(t, err)
		for _, part := range []string{"grower-portal", "grower-23", "hereford", "Last moves", "first", "Imbalance", "Churn", "Unavailable", "&lt;script&gt;"} {
			require.Contains(t, string(body), part)
		}
		require.NotContains(t, string(body), "<script>")
	})
}

// answerDropper is a transport that passes each request to the host and loses
// the answer.
type answerDropper struct{ host *fleet.Host }

func (l answerDropper) RoundTrip(r *http.Request) (*http.Response, error) {
	_, _ = l.host.RoundTrip(r)
	return nil, io.ErrUnexpectedEOF
}

func TestALostAnswerOfTheAPIIsInDoubtAndCanBeSentAgain(t *testing.T) {
	run(t, func(t *testing.T, f *fleet.Fleet) {
		c := client.New("http://host", fleet.WriteToken, answerDropper{f.Hosts[0]})
		w := command.Publish{Metadata: command.Metadata{Reason: "again", ID: "op-7"}, Document: otherProfile}
		_, err := c.Publish(t.Context(), w)
		require.Equal(t, fault.InDoubt, fault.KindOf(err))
		require.ErrorContains(t, err, "audit --id op-7")
		_, err = c.Status(t.Context())
		require.Equal(t, fault.PeerUnavailable, fault.KindOf(err))
		r, err := f.Hosts[1].Client(fleet.WriteToken).Publish(t.Context(), w)
		require.NoError(t, err, "the same id is the same change")
		a, err := f.Hosts[2].Client(fleet.ReadToken).Audit(t.Context(), query.AuditFilter{Subject: "profile/other"})
		require.NoError(t, err)
		require.Equal(t, r.Offset, a.Entries[0].Offset)
	})
}

const otherProfile = "kind: profile\nname: other\nrules:\n  - {kind: order, timeout: 2s}\n"
