package routing

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/profile"
)

const maxKeyBytes = 1024

// extractKey returns the key of a request; rest is its escaped path after the
// service's prefix and body its buffered body. An ambiguous key is refused, since
// the backend server might read another one. Errors are of kind NoKey or
// BadRequest.
func extractKey(k profile.Key, in *http.Request, rest string, body []byte) (string, error) {
	key, err := readKey(k, in, rest, body)
	if err != nil {
		return "", err
	}
	if key == "" {
		return "", fault.Newf(fault.NoKey, "no key in %s", k.From)
	}
	if len(key) > maxKeyBytes {
		return "", fault.Newf(fault.BadRequest, "the key exceeds %d bytes", maxKeyBytes)
	}
	return key, nil
}

// readKey returns the key, or "" when the request has none.
func readKey(k profile.Key, in *http.Request, rest string, body []byte) (string, error) {
	switch k.From {
	case profile.KeyFromPath:
		return pathKey(rest, k.Segment)
	case profile.KeyFromHeader:
		return singleValue("header", k.Name, in.Header[textproto.CanonicalMIMEHeaderKey(k.Name)])
	case profile.KeyFromQuery:
		return queryKey(in.URL.RawQuery, k.Name)
	case profile.KeyFromBody:
		return bodyKey(body, k.Name)
	}
	return "", nil
}

// pathKey returns the unescaped segment n of rest, counted from 1, or "" when
// rest has fewer.
func pathKey(rest string, n int) (string, error) {
	segments := strings.TrimPrefix(rest, "/")
	for i := 1; ; i++ {
		segment, more, found := strings.Cut(segments, "/")
		if i == n {
			return unescapeSegment(segment)
		}
		if !found {
			return "", nil
		}
		segments = more
	}
}

func unescapeSegment(segment string) (string, error) {
	key, err := url.PathUnescape(segment)
	if err != nil {
		return "", fault.Wrap(fault.BadRequest, err, "the key's path segment is malformed")
	}
	return key, nil
}

func queryKey(raw, name string) (string, error) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return "", fault.Wrap(fault.BadRequest, err, "the query is malformed")
	}
	return singleValue("query parameter", name, values[name])
}

// singleValue returns the only value, or "" without one. More than one is an
// error.
func singleValue(what, name string, values []string) (string, error) {
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", fault.Newf(fault.BadRequest, "%s %q occurs %d times, want once", what, name, len(values))
}

// bodyKey returns the value of the top-level field name of a JSON object: a
// string, or a number as it is written.
func bodyKey(body []byte, name string) (string, error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return "", fault.New(fault.BadRequest, "the body is not a JSON object")
	}
	var found []string
	for d.More() {
		value, matches, err := nextField(d, name)
		if err != nil {
			return "", err
		}
		if matches {
			found = append(found, value)
		}
	}
	if _, err := d.Token(); err != nil {
		return "", fault.Wrap(fault.BadRequest, err, "the JSON body is malformed")
	}
	if _, err := d.Token(); err != io.EOF {
		return "", fault.New(fault.BadRequest, "the JSON body has data after its object")
	}
	return singleValue("field", name, found)
}

// nextField reads one field and its value. Names that differ only in case count
// as the same field, since many JSON decoders treat them so.
func nextField(d *json.Decoder, name string) (value string, matches bool, err error) {
	token, err := d.Token()
	if err != nil {
		return "", false, fault.Wrap(fault.BadRequest, err, "the JSON body is malformed")
	}
	field, _ := token.(string)
	var raw json.RawMessage
	if err := d.Decode(&raw); err != nil {
		return "", false, fault.Wrap(fault.BadRequest, err, "the JSON body is malformed")
	}
	if !strings.EqualFold(field, name) {
		return "", false, nil
	}
	value, err = scalarText(raw, name)
	return value, true, err
}

// scalarText returns a JSON string unquoted, or a JSON number as it is written.
func scalarText(raw json.RawMessage, name string) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil && raw[0] == '"' {
		return text, nil
	}
	var number json.Number
	if json.Unmarshal(raw, &number) == nil && raw[0] != '"' && raw[0] != 'n' {
		return number.String(), nil
	}
	return "", fault.Newf(fault.BadRequest, "field %q is neither a string nor a number", name)
}

// checkPath refuses paths that servers normalise in different ways.
func checkPath(path string) error {
	if path == "" || path[0] != '/' {
		return fault.New(fault.BadRequest, "the path is not absolute")
	}
	for segment := range strings.SplitSeq(path[1:], "/") {
		if isDotSegment(segment) {
			return fault.New(fault.BadRequest, "the path contains a dot segment")
		}
	}
	if strings.Contains(path, "//") {
		return fault.New(fault.BadRequest, "the path contains an empty segment")
	}
	return nil
}

// isDotSegment reports whether s is "." or "..", escaped or not, or malformed.
func isDotSegment(s string) bool {
	if len(s) == 0 || len(s) > len("%2e%2e") || (s[0] != '.' && s[0] != '%') {
		return false
	}
	plain, err := url.PathUnescape(s)
	return err != nil || plain == "." || plain == ".."
}
