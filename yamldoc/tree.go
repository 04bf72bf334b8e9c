package yamldoc

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// ParseTree parses data and returns its documents or a syntax error. A panic of
// the YAML library is returned as a syntax error as well, so that an invalid file
// cannot terminate the process.
func ParseTree(data []byte) (file *ast.File, syntax *FieldError) {
	defer func() {
		if r := recover(); r != nil {
			syntax = &FieldError{Line: 1, Column: 1, Problem: Syntax, Allowed: fmt.Sprint(r)}
		}
	}()
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err == nil {
		return file, nil
	}
	out := FieldError{Line: 1, Column: 1, Problem: Syntax, Allowed: err.Error()}
	var detailed yaml.Error
	if errors.As(err, &detailed) {
		out.Allowed = detailed.GetMessage()
		out.Line, out.Column = tokenPosition(detailed.GetToken())
	}
	return nil, &out
}

func tokenPosition(t *token.Token) (line, column int) {
	if t == nil || t.Position == nil {
		return 1, 1
	}
	return t.Position.Line, t.Position.Column
}
