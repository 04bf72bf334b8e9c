package routing

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// readAnswer buffers an answer up to the profile's limit; a longer one is
// streamed. It changes resp.Header in place: the reply takes it over.
func (q *request) readAnswer(ctx context.Context, resp *http.Response) (*reply, error) {
	a := &reply{
		status:  resp.StatusCode,
		header:  removeHopByHop(resp.Header),
		outcome: fault.Answered,
		length:  resp.ContentLength,
	}
	limit := q.target.profile.Limits.AnswerBytes
	size := limit
	if resp.ContentLength >= 0 && resp.ContentLength < int64(limit) {
		size = int(resp.ContentLength)
	}
	if resp.Body == http.NoBody || q.in.Method == http.MethodHead {
		return a, nil
	}
	var err error
	a.body, err = readUpTo(resp.Body, size, resp.ContentLength >= 0)
	if errors.Is(err, errOverLimit) {
		a.rest = resp.Body
		return a, nil
	}
	if err != nil {
		return nil, readError(ctx, err)
	}
	a.length = int64(len(a.body))
	return a, nil
}

// errOverLimit means that a body is longer than the limit.
var errOverLimit = errors.New("the body is longer than the limit")

// readUpTo reads a body of at most limit bytes to its end. It returns
// errOverLimit together with the bytes read when the body is longer. known means
// that the body declares a length: limit is that length or, when the length is
// larger, the maximum to buffer. The buffer then starts at its full size.
func readUpTo(body io.Reader, limit int, known bool) ([]byte, error) {
	buf := make([]byte, 0, initialCapacity(limit, known))
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
		if len(buf) > limit {
			return buf, errOverLimit
		}
	}
}

// unknownSizeCapacity is the first size of the buffer for a body of unknown length, in
// bytes.
const unknownSizeCapacity = 4 << 10

// initialCapacity returns the first size of a buffer; one byte more than the body shows
// whether it is longer.
func initialCapacity(limit int, known bool) int {
	if known {
		return limit + 1
	}
	return min(limit, unknownSizeCapacity) + 1
}

// readError returns the error of an answer whose read failed with err.
func readError(ctx context.Context, err error) *fault.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.Wrap(fault.Timeout, err, "the answer was not complete before the deadline")
	}
	if ctx.Err() != nil {
		return fault.Wrap(fault.Canceled, err, "the caller canceled the request")
	}
	return fault.Wrap(fault.AnswerCut, err, "the answer ended early")
}
