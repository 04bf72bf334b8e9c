package upstream

import (
	"net/http"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// Guard decides what may be sent to a server and learns from its responses. Several
// requests call its methods at the same time.
type Guard interface {
	// Check returns an error if req must not be sent. It is called when req has a
	// connection and no byte of it has been written.
	Check(req *Request) error
	// Answered is called with the head of each final response that matches its request.
	//
	// A second copy of an earlier response is not reported. It was reported when it
	// arrived first, says nothing about the present request, and may be so old that a
	// pause that it asks for would begin anew.
	Answered(status int, header http.Header)
	// KeepsIdle reports whether connections without a request are kept.
	KeepsIdle() bool
}

// SetGuard sets the guard of the server. It must be called before the first request.
func (s *Server) SetGuard(g Guard) { s.guard = g }

// noGuard is the guard of a server without one: it allows every request.
type noGuard struct{}

// Check implements Guard.
func (noGuard) Check(*Request) error { return nil }

// Answered implements Guard.
func (noGuard) Answered(int, http.Header) {}

// KeepsIdle implements Guard.
func (noGuard) KeepsIdle() bool { return true }

// checkGuard returns an error of kind NotSent if the guard does not allow req, and then
// puts its connection back.
func (s *Server) checkGuard(c *conn, req *Request) error {
	err := s.guard.Check(req)
	if err == nil {
		return nil
	}
	s.putIdle(c)
	return fault.Wrap(fault.NotSent, err, "the server must not be sent the request now")
}
