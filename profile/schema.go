package profile

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/invopop/jsonschema"
)

const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+$`

// Schema returns the JSON Schema of a document, for use by editors.
func Schema() ([]byte, error) {
	r := &jsonschema.Reflector{
		FieldNameTag:               "yaml",
		RequiredFromJSONSchemaTags: true,
		Anonymous:                  true,
		DoNotReference:             true,
		Mapper:                     mapType,
	}
	document := func(kind DocumentKind, v any, required ...string) *jsonschema.Schema {
		s := r.Reflect(v)
		s.Version = ""
		s.Properties.Set(kindField, &jsonschema.Schema{Const: string(kind)})
		s.Required = append([]string{kindField}, required...)
		return s
	}
	return json.MarshalIndent(&jsonschema.Schema{
		Version: jsonschema.Version,
		Title:   "lacewingsaddle document",
		OneOf: []*jsonschema.Schema{
			document(ProfileDocument, Profile{}, "name", "rules"),
			document(ServiceDocument, Service{}, "name", "profile", "path_prefix", "servers"),
		},
	}, "", "  ")
}

func mapType(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[time.Duration]():
		return &jsonschema.Schema{Type: "string", Pattern: durationPattern, Examples: []any{"250ms", "2s"}}
	case reflect.TypeFor[RequestKind]():
		return enum(Lookup, Order, Upload)
	case reflect.TypeFor[KeySource]():
		return enum(KeyFromPath, KeyFromHeader, KeyFromQuery, KeyFromBody)
	case reflect.TypeFor[ClaimFallback]():
		return enum(ClaimRefuse, ClaimSend)
	}
	return nil
}

func enum[T ~string](values ...T) *jsonschema.Schema {
	s := &jsonschema.Schema{Type: "string"}
	for _, v := range values {
		s.Enum = append(s.Enum, string(v))
	}
	return s
}
