// Package schema derives the JSON Schema of a configuration from the structs that the
// system decodes it into, so that operators can generate and check a configuration
// in any language. Its output is committed as docs/deployment.schema.json.
package schema

import (
	"encoding/json"

	"github.com/invopop/jsonschema"
	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
)

// JSON returns the schema as indented JSON with a trailing newline.
func JSON() ([]byte, error) {
	reflector := &jsonschema.Reflector{Anonymous: true, ExpandedStruct: true}
	s := reflector.Reflect(&deployment.Deployment{})
	s.Title = "cyclamenpoint deployment"
	setEnums(s)
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode the schema")
	}
	return append(text, '\n'), nil
}

// setEnums lists the allowed values of the fields that are enumerations.
func setEnums(s *jsonschema.Schema) {
	for _, e := range []struct {
		definition, field string
		values            []any
	}{
		{"Model", "repeat", []any{deployment.RepeatAlways, deployment.RepeatUnlessRun}},
		{"Route", "repeat", []any{deployment.RepeatAlways, deployment.RepeatUnlessRun, deployment.RepeatNever}},
		{"Endpoint", "kind", []any{deployment.KindEngine, deployment.KindService}},
		{"Endpoint", "role", []any{deployment.RoleBoth, deployment.RolePrefill, deployment.RoleDecode}},
		{"Weight", "scope", []any{deployment.ScopeVM, deployment.ScopeFailureDomain}},
	} {
		field, _ := s.Definitions[e.definition].Properties.Get(e.field)
		field.Enum = e.values
	}
}
