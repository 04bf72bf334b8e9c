package profile

import "github.com/lacewingsaddle/lacewingsaddle/yamldoc"

// Problem is the way in which a field is invalid.
type Problem = yamldoc.Problem

const (
	ProblemSyntax       = yamldoc.Syntax
	ProblemUnknown      = yamldoc.Unknown
	ProblemMissing      = yamldoc.Missing
	ProblemDuplicate    = yamldoc.Duplicate
	ProblemType         = yamldoc.Type
	ProblemValue        = yamldoc.Value
	ProblemInconsistent = yamldoc.Inconsistent
)

// FieldError is one invalid field of a document.
type FieldError = yamldoc.FieldError

// FieldErrors lists every invalid field of a document, in source order.
type FieldErrors = yamldoc.FieldErrors
