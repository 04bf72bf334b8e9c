package gateway

import (
	"io"
	"sync/atomic"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// upload is the part of a long body that is passed on while it arrives. It ends with an
// error if the body exceeds its limit: with a regular end, the server would take what has
// arrived for the whole body.
type upload struct {
	from     io.Reader
	limit    int64       // of the whole body, in bytes
	left     int64       // bytes that may still be read
	complete atomic.Bool // its end was read
}

// Read implements io.Reader. Errors other than io.EOF are of kind TooLarge or BadRequest.
func (u *upload) Read(p []byte) (int, error) {
	n, err := u.from.Read(p)
	u.left -= int64(n)
	switch {
	case u.left < 0:
		return 0, errBodyTooLarge(u.limit)
	case err == io.EOF:
		u.complete.Store(true)
	case err != nil:
		return n, errUnreadableBody(err)
	}
	return n, err
}

// bodyIsUnread reports whether the request is answered before its whole body was read.
func (q *request) bodyIsUnread() bool {
	if q.rest != nil {
		return !q.rest.complete.Load()
	}
	return q.in.ContentLength != 0 && !q.bodyRead
}

// errBodyTooLarge returns the error of a body that exceeds the limit.
func errBodyTooLarge(limit int64) error {
	return fault.Newf(fault.TooLarge, "the body exceeds %d bytes", limit)
}

// errUnreadableBody returns the error of a body whose read failed with err.
func errUnreadableBody(err error) error {
	return fault.Wrap(fault.BadRequest, err, "the request body could not be read completely")
}
