package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/yamldoc"
)

// The exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitInvalid     = 2 // wrong usage or an invalid document; nothing was written
	ExitSuperseded  = 3 // a concurrent change was accepted first; nothing was changed
	ExitInDoubt     = 4 // the change may or may not take effect
	ExitUnavailable = 5 // the host or the log cannot be reached; nothing was changed
	ExitNotInForce  = 6 // accepted, but not in force everywhere within the timeout
	ExitDenied      = 7 // the token does not permit it
	ExitNotFound    = 8
)

const exitCodesText = `Exit codes: 0 done, 1 failed, 2 wrong usage or invalid document, 3 somebody else's change came first,
4 in doubt, 5 host or log unavailable, 6 accepted but not in force in time, 7 not permitted, 8 not found.`

var exitCodeByKind = map[fault.Kind]int{
	fault.BadRequest:       ExitInvalid,
	fault.BadProfile:       ExitInvalid,
	fault.BadSettings:      ExitInvalid,
	fault.Superseded:       ExitSuperseded,
	fault.InDoubt:          ExitInDoubt,
	fault.LogUnavailable:   ExitUnavailable,
	fault.LogGap:           ExitUnavailable,
	fault.PeerUnavailable:  ExitUnavailable,
	fault.NotReady:         ExitUnavailable,
	fault.Timeout:          ExitNotInForce,
	fault.PermissionDenied: ExitDenied,
	fault.NotFound:         ExitNotFound,
}

// exitCode returns the exit code for err.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if code, ok := exitCodeByKind[fault.KindOf(err)]; ok {
		return code
	}
	return ExitFailed
}

// writeError prints err for people, with one line for each invalid field.
func writeError(w io.Writer, err error) {
	var e *fault.Error
	if !errors.As(err, &e) {
		fmt.Fprintln(w, err)
		return
	}
	fmt.Fprintf(w, "%s (%s)\n", e.Answer().Title, e.Kind)
	var fields yamldoc.FieldErrors
	if errors.As(err, &fields) {
		writeFields(w, "", fields)
		return
	}
	fmt.Fprintln(w, e.Detail)
	if e.Cause != nil {
		fmt.Fprintln(w, e.Cause)
	}
}

// writeFileError prints err with the file's name before each line and column,
// the form in which editors recognize a position.
func writeFileError(w io.Writer, file string, err error) {
	var fields yamldoc.FieldErrors
	if !errors.As(err, &fields) {
		fmt.Fprintf(w, "%s: %v\n", file, err)
		return
	}
	writeFields(w, file+":", fields)
}

func writeFields(w io.Writer, prefix string, fields yamldoc.FieldErrors) {
	for _, f := range fields {
		fmt.Fprintln(w, prefix+f.Error())
	}
}
