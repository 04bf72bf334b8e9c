package upstream

import (
	"bytes"
	"net"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const (
	// maxHeadBytes and maxHeadLines bound all response heads that are read in one
	// exchange, including those of informational and stray responses. What one read
	// of the connection returns beyond them is still accepted.
	maxHeadBytes = 64 << 10
	maxHeadLines = 512
	// maxStrayBytes bounds the body of a response that is skipped.
	maxStrayBytes = 1 << 20
	// maxBodyBytes bounds the body of a response, so that a body without an end does
	// not occupy the server and the caller until the deadline.
	maxBodyBytes = 64 << 20
)

// errHeadTooLarge is the error of a head that exceeds the limits.
var errHeadTooLarge = fault.New(fault.AnswerTooLarge, "the response head exceeds its limit")

// limitedReader reads from a connection. While it reads heads, it ends with
// errHeadTooLarge once the limits are used up: a server in trouble may send bytes
// without end, which a parser would collect.
type limitedReader struct {
	raw      net.Conn
	inHead   bool
	bytes    int  // left for heads
	lines    int  // left for heads
	exceeded bool // a read failed since the limits are used up
}

// startExchange resets the limits.
func (r *limitedReader) startExchange() {
	r.bytes, r.lines, r.exceeded = maxHeadBytes, maxHeadLines, false
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.inHead && (r.bytes <= 0 || r.lines <= 0) {
		r.exceeded = true
		return 0, errHeadTooLarge
	}
	n, err := r.raw.Read(p)
	if r.inHead {
		r.bytes -= n
		r.lines -= bytes.Count(p[:n], []byte{'\n'})
	}
	return n, err
}
