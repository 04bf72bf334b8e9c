package profile

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
	"github.com/lacewingsaddle/lacewingsaddle/yamldoc"
)

// MaxDocumentBytes is the maximum size of a file of documents.
const MaxDocumentBytes = 1 << 20

// Document is one profile or one service, with every default filled in.
// Exactly one of Profile and Service is set, according to Kind.
type Document struct {
	Kind    DocumentKind
	Profile *Profile
	Service *Service
	Source  string // YAML text as the operator wrote it
}

// Name returns the name of the profile or service.
func (d Document) Name() string {
	if d.Kind == ProfileDocument {
		return d.Profile.Name
	}
	return d.Service.Name
}

// Check returns every invalid field.
func (d Document) Check() FieldErrors {
	if d.Kind == ProfileDocument {
		return d.Profile.Check()
	}
	return d.Service.Check()
}

// Parse parses and checks a file of one or more YAML documents. Each has the
// field kind, which is profile or service. An error is of kind BadProfile; its
// cause is a FieldErrors with every invalid field of every document, except for
// a file that exceeds MaxDocumentBytes.
func Parse(data []byte) ([]Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, fault.Newf(fault.BadProfile, "the file exceeds %d bytes", MaxDocumentBytes)
	}
	file, syntax := yamldoc.ParseTree(data)
	if syntax != nil {
		return nil, FieldErrors{*syntax}.AsError(fault.BadProfile, "the file")
	}
	var docs []Document
	var errs FieldErrors
	for _, tree := range file.Docs {
		if tree.Body == nil {
			continue
		}
		doc, found := parseDocument(tree.Body)
		errs = append(errs, found...)
		docs = append(docs, doc)
	}
	if len(docs) == 0 {
		errs = append(errs, FieldError{Line: 1, Column: 1, Path: kindField, Problem: ProblemMissing, Allowed: allowedKinds})
	}
	if err := errs.Sorted().AsError(fault.BadProfile, "the file"); err != nil {
		return nil, err
	}
	attachSource(docs, string(data))
	return docs, nil
}

// kindField is the field that selects the type of a document. It is not a field
// of Profile or Service.
const kindField = "kind"

const allowedKinds = "profile or service"

func parseDocument(body ast.Node) (Document, FieldErrors) {
	d := yamldoc.NewDecoder(body, kindField)
	doc := Document{Kind: documentKind(d, body)}
	switch doc.Kind {
	case ProfileDocument:
		p := Default("")
		d.Decode(&p)
		setIdempotentDefaults(d, &p)
		doc.Profile = &p
	case ServiceDocument:
		doc.Service = &Service{}
		d.Decode(doc.Service)
	default:
		return doc, d.Errors
	}
	d.AddFieldErrors(doc.Check())
	return doc, d.Errors
}

func documentKind(d *yamldoc.Decoder, body ast.Node) DocumentKind {
	pairs, _ := yamldoc.PairsOf(body)
	for _, pair := range pairs {
		if yamldoc.TextOf(pair.Key) != kindField {
			continue
		}
		kind := DocumentKind(yamldoc.TextOf(pair.Value))
		if kind != ProfileDocument && kind != ServiceDocument {
			d.AddError(kindField, pair.Value, ProblemValue, allowedKinds)
			return ""
		}
		return kind
	}
	d.AddError(kindField, body, ProblemMissing, allowedKinds)
	return ""
}

// setIdempotentDefaults sets Idempotent on lookup rules whose text leaves the
// field out. An order is idempotent only if the text says so.
func setIdempotentDefaults(d *yamldoc.Decoder, p *Profile) {
	for i := range p.Rules {
		isSet := d.IsSet(fmt.Sprintf("rules[%d].idempotent", i))
		if !isSet && p.Rules[i].Kind == Lookup {
			p.Rules[i].Idempotent = true
		}
	}
}

// attachSource sets each document's Source to its part of the text: the whole
// text for a single document, otherwise the parts between the separators. If
// the parts cannot be matched to the documents, Source is the YAML with defaults
// that Effective returns.
func attachSource(docs []Document, text string) {
	if len(docs) == 1 {
		docs[0].Source = text
		return
	}
	parts := splitDocuments(text)
	for i := range docs {
		if len(parts) == len(docs) {
			docs[i].Source = parts[i]
			continue
		}
		docs[i].Source = docs[i].Effective()
	}
}

func splitDocuments(text string) []string {
	var parts []string
	var part strings.Builder
	flush := func() {
		if strings.TrimSpace(part.String()) != "" {
			parts = append(parts, part.String())
		}
		part.Reset()
	}
	for line := range strings.Lines(text) {
		if strings.TrimRight(line, " \r\n") == "---" {
			flush()
			continue
		}
		part.WriteString(line)
	}
	flush()
	return parts
}

type profileYAML struct {
	Kind    DocumentKind `yaml:"kind"`
	Profile `yaml:",inline"`
}

type serviceYAML struct {
	Kind    DocumentKind `yaml:"kind"`
	Service `yaml:",inline"`
}

// Effective returns the document as YAML with every default written out.
func (d Document) Effective() string {
	var value any = serviceYAML{Kind: d.Kind}
	if d.Kind == ProfileDocument {
		value = profileYAML{Kind: d.Kind, Profile: *d.Profile}
	} else if d.Service != nil {
		value = serviceYAML{Kind: d.Kind, Service: *d.Service}
	}
	out, err := yaml.MarshalWithOptions(value, yaml.IndentSequence(true))
	if err != nil {
		return "# " + err.Error() + "\n"
	}
	return string(out)
}
