package routing

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

// FuzzKey extracts keys from arbitrary requests. A key that is accepted must equal
// the one that the standard library reads and be within maxKeyBytes.
func FuzzKey(f *testing.F) {
	f.Add("/a/b", "k=v", `{"k":"v"}`)
	f.Add("/a%2Fb/%zz", "k=v&k=w", `{"k":"v","K":1}`)
	f.Add("//", "%", `{"k":{"k":1}}`)
	f.Add("/a/../b", "K=1;k=2", `{"k":1e400}`)
	f.Fuzz(func(t *testing.T, path, query, body string) {
		if key, err := extractKey(profile.Key{From: profile.KeyFromPath, Segment: 1}, nil, path, nil); err == nil {
			want, _ := url.PathUnescape(strings.SplitN(strings.TrimPrefix(path, "/"), "/", 2)[0])
			check(t, key, want)
		}
		in := &http.Request{URL: &url.URL{RawQuery: query}}
		if key, err := extractKey(profile.Key{From: profile.KeyFromQuery, Name: "k"}, in, "", nil); err == nil {
			check(t, key, in.URL.Query().Get("k"))
		}
		if key, err := extractKey(profile.Key{From: profile.KeyFromBody, Name: "k"}, nil, "", []byte(body)); err == nil {
			checkBodyKey(t, key, body)
		}
	})
}

func check(t *testing.T, key, want string) {
	if key != want || key == "" || len(key) > maxKeyBytes {
		t.Fatalf("key %q, want %q", key, want)
	}
}

func checkBodyKey(t *testing.T, key, body string) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal([]byte(body), &object); err != nil {
		t.Fatalf("key %q from a body that is not an object: %v", key, err)
	}
	for name, raw := range object {
		if !strings.EqualFold(name, "k") {
			continue
		}
		var text string
		if json.Unmarshal(raw, &text) == nil {
			check(t, key, text)
			return
		}
		check(t, key, string(raw))
		return
	}
	t.Fatalf("key %q from a body without the field", key)
}

// FuzzAnswer reads arbitrary bytes as an answer. One that is accepted as complete
// must have its declared length and be within the buffering limit.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 503 Busy\r\nLacewingsaddle-Not-Run: overloaded\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		in, _ := http.NewRequest(http.MethodGet, "/", nil)
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), in)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		p := profile.Default("p")
		p.Limits.AnswerBytes = 64
		q := &request{in: in, target: &target{profile: p}}
		declared := resp.ContentLength
		if q.checkAnswer(resp) != nil {
			return
		}
		a, err := q.readAnswer(t.Context(), resp)
		if err != nil {
			return
		}
		if !a.buffered() {
			_, _ = io.Copy(io.Discard, a.rest)
			return
		}
		if len(a.body) > p.Limits.AnswerBytes || (declared > 0 && int64(len(a.body)) != declared) {
			t.Fatalf("%d bytes accepted as a complete answer, %d declared", len(a.body), declared)
		}
	})
}
