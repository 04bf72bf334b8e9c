package yamldoc

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// maxValueText is the maximum length of an invalid value in an error, in bytes.
const maxValueText = 80

// position is a position in the source text; line and column count from 1.
type position struct{ line, column int }

// Decoder decodes a YAML tree into Go values and collects every error. It records
// the position of each field, so that later checks of the values can report it.
type Decoder struct {
	Errors    FieldErrors
	body      ast.Node
	skipField string // top-level field that is ignored; empty for none
	positions map[string]position
}

// NewDecoder returns a decoder of one document. It ignores the top-level field
// named skip; empty means none.
func NewDecoder(body ast.Node, skip string) *Decoder {
	return &Decoder{body: body, skipField: skip, positions: map[string]position{"": positionOf(body)}}
}

// Decode decodes the document into the value that out points to. Fields that
// the text leaves out keep their value.
func (d *Decoder) Decode(out any) { d.decode("", d.body, reflect.ValueOf(out)) }

// IsSet reports whether the text sets the field at path. It is valid after Decode.
func (d *Decoder) IsSet(path string) bool {
	_, ok := d.positions[path]
	return ok
}

var durationType = reflect.TypeFor[time.Duration]()

// decode decodes node into v. Fields that the text leaves out keep their value.
func (d *Decoder) decode(path string, node ast.Node, v reflect.Value) {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			v.Set(reflect.New(v.Type().Elem()))
		}
		d.decode(path, node, v.Elem())
		return
	}
	if v.Type() == durationType {
		d.decodeDuration(path, node, v)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, node, v)
	case reflect.Slice:
		d.decodeSlice(path, node, v)
	default:
		d.decodeScalar(path, node, v)
	}
}

func (d *Decoder) decodeStruct(path string, node ast.Node, v reflect.Value) {
	pairs, ok := PairsOf(node)
	if !ok {
		d.AddError(path, node, Type, "a mapping with "+FieldList(v.Type()))
		return
	}
	seen := map[string]bool{}
	for _, pair := range pairs {
		name := TextOf(pair.Key)
		if path == "" && d.skipField != "" && name == d.skipField {
			continue
		}
		child := joinPath(path, name)
		if seen[name] {
			d.AddError(child, pair.Key, Duplicate, "each field once")
			continue
		}
		seen[name] = true
		field, known := fieldByName(v, name)
		if !known {
			d.AddError(child, pair.Key, Unknown, FieldList(v.Type()))
			continue
		}
		d.positions[child] = positionOf(pair.Value)
		d.decode(child, pair.Value, field)
	}
}

func (d *Decoder) decodeSlice(path string, node ast.Node, v reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.AddError(path, node, Type, "a list")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values))
	for i, item := range list.Values {
		child := fmt.Sprintf("%s[%d]", path, i)
		d.positions[child] = positionOf(item)
		d.decode(child, item, out.Index(i))
	}
	v.Set(out)
}

func (d *Decoder) decodeDuration(path string, node ast.Node, v reflect.Value) {
	const allowed = `a time with its unit, such as 250ms, 2s or 10m`
	text, ok := node.(*ast.StringNode)
	if !ok {
		d.AddError(path, node, Type, allowed)
		return
	}
	value, err := time.ParseDuration(text.Value)
	if err != nil {
		d.AddError(path, node, Value, allowed)
		return
	}
	v.SetInt(int64(value))
}

func (d *Decoder) decodeScalar(path string, node ast.Node, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		d.decodeString(path, node, v)
	case reflect.Bool:
		if n, ok := node.(*ast.BoolNode); ok {
			v.SetBool(n.Value)
			return
		}
		d.AddError(path, node, Type, "true or false")
	case reflect.Int:
		if n, ok := wholeNumber(node); ok {
			v.SetInt(n)
			return
		}
		d.AddError(path, node, Type, "a whole number")
	case reflect.Float64:
		if n, ok := number(node); ok {
			v.SetFloat(n)
			return
		}
		d.AddError(path, node, Type, "a number")
	default:
		d.AddError(path, node, Type, "a field that can be written in YAML")
	}
}

func (d *Decoder) decodeString(path string, node ast.Node, v reflect.Value) {
	switch n := node.(type) {
	case *ast.StringNode:
		v.SetString(n.Value)
	case *ast.LiteralNode:
		v.SetString(n.Value.Value)
	default:
		d.AddError(path, node, Type, "text; put numbers and true or false in quotes")
	}
}

// AddError adds an error about the field at path, with the position and text of
// node.
func (d *Decoder) AddError(path string, node ast.Node, problem Problem, allowed string) {
	pos := positionOf(node)
	d.Errors = append(d.Errors, FieldError{
		Line: pos.line, Column: pos.column, Path: path,
		Problem: problem, Value: valueText(node), Allowed: allowed,
	})
}

// AddFieldErrors adds the errors of a check of the decoded value. Each gets the
// position of its field or, if the text does not set it, of the nearest
// enclosing one. Fields that already have an error from decoding are left out.
func (d *Decoder) AddFieldErrors(errs FieldErrors) {
	for _, e := range errs {
		for path := e.Path; ; path = parentPath(path) {
			pos, ok := d.positions[path]
			if ok || path == "" {
				e.Line, e.Column = max(pos.line, 1), max(pos.column, 1)
				break
			}
		}
		if !d.hasErrorFor(e.Path) {
			d.Errors = append(d.Errors, e)
		}
	}
}

// hasErrorFor reports whether there is an error for path or an enclosing field.
func (d *Decoder) hasErrorFor(path string) bool {
	return slices.ContainsFunc(d.Errors, func(e FieldError) bool {
		return e.Path == path || (e.Path != "" && strings.HasPrefix(path, e.Path+"."))
	})
}

// PairsOf returns the entries of a mapping, and false if node is not one.
func PairsOf(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

func fieldByName(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if yamlName(v.Type().Field(i)) == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// FieldList returns the YAML field names of a struct type, separated by commas.
func FieldList(t reflect.Type) string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, yamlName(t.Field(i)))
	}
	return strings.Join(names, ", ")
}

func wholeNumber(node ast.Node) (int64, bool) {
	n, ok := node.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	value, err := strconv.ParseInt(fmt.Sprint(n.Value), 10, 64)
	return value, err == nil
}

func number(node ast.Node) (float64, bool) {
	if f, ok := node.(*ast.FloatNode); ok {
		return f.Value, true
	}
	n, ok := wholeNumber(node)
	return float64(n), ok
}

// TextOf returns the text of a scalar: all of it for a string, otherwise as in
// valueText.
func TextOf(node ast.Node) string {
	if s, ok := node.(*ast.StringNode); ok {
		return s.Value
	}
	return valueText(node)
}

// valueText returns the text of node for an error: a scalar's, truncated to
// maxValueText bytes, or the kind of a node that is not a scalar.
func valueText(node ast.Node) string {
	switch node.(type) {
	case nil:
		return ""
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		return "an anchor, alias or tag"
	}
	token := node.GetToken()
	if token == nil {
		return ""
	}
	return token.Value[:min(len(token.Value), maxValueText)]
}

func positionOf(node ast.Node) position {
	if node == nil {
		return position{1, 1}
	}
	if m, ok := node.(*ast.MappingNode); ok && len(m.Values) > 0 && !m.IsFlowStyle {
		return positionOf(m.Values[0].Key)
	}
	token := node.GetToken()
	if token == nil || token.Position == nil {
		return position{1, 1}
	}
	return position{token.Position.Line, token.Position.Column}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// parentPath returns path without its last field name or index.
func parentPath(path string) string {
	i := max(strings.LastIndexByte(path, '.'), strings.LastIndexByte(path, '['))
	return path[:max(i, 0)]
}
