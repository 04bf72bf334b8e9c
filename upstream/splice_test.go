package upstream

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestContainsStatusLine(t *testing.T) {
	cases := map[string]bool{
		"":                               false,
		"OK":                             false,
		"1HTTP/1.1 200 OK":               true,
		"HTTP/1.0 204":                   true,
		"a HTTP/1.1 x HTTP/1.1 503 Busy": true,
		"HTTP/1.1":                       false,
		"HTTP/1.1 proxy.example":         false, // Via
		"HTTP/1.1 192.168.0.1:80":        false, // Via
		"HTTP/1.1 20":                    false,
		"HTTP/1.1 2000":                  false,
		"HTTP/1.x 200":                   false,
		"HTTP/1.1/200":                   false,
	}
	for text, want := range cases {
		require.Equal(t, want, containsStatusLine(text), "%q", text)
	}
}
