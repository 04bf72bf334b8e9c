package upstream

import (
	"net/http"
	"strings"
)

// ContainsHead reports whether a header value or the reason phrase of resp contains the
// status line of another response. The head of a response that was cut off then
// continues with that response: the two have one status and the other's id.
func ContainsHead(resp *http.Response) bool {
	_, reason, _ := strings.Cut(resp.Status, " ")
	if containsStatusLine(reason) {
		return true
	}
	for _, values := range resp.Header {
		for _, v := range values {
			if containsStatusLine(v) {
				return true
			}
		}
	}
	return false
}

// statusLineBytes is the length of a status line's start, up to the status, in bytes.
const statusLineBytes = len("HTTP/1.1 200")

// isInsertedInto reports whether another response was written into a body that has just
// been read. What it pushed out of the body has been received, too, and a status line
// begins within the body. Bytes alone that follow a body are no reason to reject it.
func (c *conn) isInsertedInto(body []byte) bool {
	n := min(c.reader.Buffered(), statusLineBytes-1)
	if n == 0 {
		return false
	}
	next, _ := c.reader.Peek(n) // these are buffered
	return containsStatusLine(string(body) + string(next))
}

// containsStatusLine reports whether text contains a version and a status as in
// "HTTP/1.1 200".
func containsStatusLine(text string) bool {
	for {
		_, after, found := strings.Cut(text, "HTTP/1.")
		if !found {
			return false
		}
		if isMinorAndStatus(after) {
			return true
		}
		text = after
	}
}

// isMinorAndStatus reports whether text starts with a minor version and a status of
// three digits, which the text's end or a space follows.
func isMinorAndStatus(text string) bool {
	const length = len("1 200")
	if len(text) < length || text[1] != ' ' || !isDigits(text[:1]) || !isDigits(text[2:length]) {
		return false
	}
	return len(text) == length || text[length] == ' '
}

// isDigits reports whether text consists of digits only.
func isDigits(text string) bool {
	return strings.Trim(text, "0123456789") == ""
}
