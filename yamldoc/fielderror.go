// Package yamldoc decodes YAML documents strictly. It reports all invalid fields
// together, each with its line, column, value and what is allowed.
package yamldoc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// Problem is the way in which a field is invalid.
type Problem string

const (
	Syntax       Problem = "not valid YAML"
	Unknown      Problem = "unknown field"
	Missing      Problem = "missing field"
	Duplicate    Problem = "duplicate"
	Type         Problem = "wrong type"
	Value        Problem = "wrong value"
	Inconsistent Problem = "inconsistent"
)

// FieldError is one invalid field of a document.
type FieldError struct {
	Line    int     `json:"line,omitempty"`   // counts from 1; 0 without a source text
	Column  int     `json:"column,omitempty"` // counts from 1
	Path    string  `json:"path"`             // for example rules[0].timeout
	Problem Problem `json:"problem"`
	Value   string  `json:"value,omitempty"`   // the invalid value
	Allowed string  `json:"allowed,omitempty"` // what is allowed
}

// Error returns the error on one line.
func (e FieldError) Error() string {
	var b strings.Builder
	if e.Line > 0 {
		fmt.Fprintf(&b, "%d:%d: ", e.Line, e.Column)
	}
	if e.Path != "" {
		b.WriteString(e.Path + ": ")
	}
	b.WriteString(string(e.Problem))
	if e.Value != "" {
		fmt.Fprintf(&b, " %q", e.Value)
	}
	if e.Allowed != "" {
		b.WriteString("; allowed: " + e.Allowed)
	}
	return b.String()
}

// FieldErrors lists the invalid fields of a document.
type FieldErrors []FieldError

// Error returns one line for each invalid field.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// AsError returns nil for an empty list, otherwise an error of kind k about
// subject, with e as its cause.
func (e FieldErrors) AsError(k fault.Kind, subject string) error {
	if len(e) == 0 {
		return nil
	}
	return fault.Wrap(k, e, fmt.Sprintf("%s has %d invalid fields", subject, len(e)))
}

// Sorted sorts e by position in the text, then by path, and returns it.
func (e FieldErrors) Sorted() FieldErrors {
	slices.SortStableFunc(e, func(a, b FieldError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Path, b.Path))
	})
	return e
}
