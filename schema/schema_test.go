package schema

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	checker "github.com/santhosh-tekuri/jsonschema/v6"
	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/operator"
)

const schemaFile = "../docs/deployment.schema.json"

func TestCommittedSchemaIsUpToDate(t *testing.T) {
	want, err := JSON()
	assert.NilError(t, err)
	got, err := os.ReadFile(schemaFile)
	assert.NilError(t, err)
	assert.Equal(t, string(got), string(want), "regenerate it with: cyclamenpoint config schema")
}

// compileSchema returns the committed schema, ready to validate documents.
func compileSchema(t *testing.T) *checker.Schema {
	t.Helper()
	text, err := os.ReadFile(schemaFile)
	assert.NilError(t, err)
	doc, err := checker.UnmarshalJSON(bytes.NewReader(text))
	assert.NilError(t, err)
	c := checker.NewCompiler()
	assert.NilError(t, c.AddResource("deployment.json", doc))
	s, err := c.Compile("deployment.json")
	assert.NilError(t, err)
	return s
}

// jsonValue converts YAML to the JSON value that the schema validates.
func jsonValue(t *testing.T, text []byte) any {
	t.Helper()
	var v any
	assert.NilError(t, yaml.Unmarshal(text, &v))
	asJSON, err := json.Marshal(v)
	assert.NilError(t, err)
	doc, err := checker.UnmarshalJSON(bytes.NewReader(asJSON))
	assert.NilError(t, err)
	return doc
}

func sampleYAML(t *testing.T) []byte {
	t.Helper()
	d := operator.New("sample")
	m := d.Model("m", 16, operator.Always)
	g := d.Group("g", m, operator.Shape{Layers: 1, Experts: 2, Slots: 2, ExpertBytes: 1}, operator.Objective{Skew: 1})
	place := operator.Place{VM: "vm", FailureDomain: "a", Region: "r", Address: "10.0.0.1:1", Agent: "10.0.0.1:2"}
	d.Engine("e", g, place, operator.EngineOptions{Concurrency: 1})
	d.Organisation("o", 1, operator.Limits{Concurrent: 3}, operator.HashKey("k"))
	d.DrainVM("vm", 50)
	d.EvacuateFailureDomain("a")
	var out bytes.Buffer
	assert.NilError(t, d.Print(&out))
	return out.Bytes()
}

func TestSchemaAcceptsPrintedDeployment(t *testing.T) {
	assert.NilError(t, compileSchema(t).Validate(jsonValue(t, sampleYAML(t))))
}

func TestSchemaRejectsFaults(t *testing.T) {
	tests := []struct{ name, old, new string }{
		{"unknown field", "name: sample", "nam: sample"},
		{"bad kind", "kind: engine", "kind: motor"},
		{"text for a number", "max_tokens: 16", "max_tokens: many"},
		{"evacuated domain that is no text", "evacuated:\n  - a", "evacuated:\n  - [a]"},
		{"missing weight", "    weight: 100\n", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := bytes.Replace(sampleYAML(t), []byte(test.old), []byte(test.new), 1)
			assert.Assert(t, !bytes.Equal(text, sampleYAML(t)))
			assert.Assert(t, compileSchema(t).Validate(jsonValue(t, text)) != nil)
		})
	}
}
