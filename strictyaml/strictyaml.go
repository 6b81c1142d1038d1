// Package strictyaml reads a YAML document into typed values and locates every
// fault in it: unknown fields, repeated fields, values of the wrong type, and
// whatever the caller's own rules find. All faults are reported together, each
// as file:line with the field, its value and what is allowed.
package strictyaml

import (
	"bytes"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"

	"go.yaml.in/yaml/v3"
)

// maxShownValue bounds how much of a faulty value is repeated, in bytes.
const maxShownValue = 80

// Fault is one thing that is wrong in a document.
type Fault struct {
	// File is the document's name as the caller gave it.
	File string
	// Line counts from 1; 0 means that no line can be named.
	Line int
	// Field is the path to the field, such as "endpoints[2].address".
	Field string
	// Value is the faulty value as written, or empty when it is missing.
	Value string
	// Allowed says what would be accepted.
	Allowed string
}

// String gives the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %q: %s", f.File, f.Line, f.Field, f.Value, f.Allowed)
}

// FaultsError holds all faults of one document, in the order of their lines.
type FaultsError struct {
	Faults []Fault
}

// Error lists the faults, one a line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Document is a decoded document that can still locate fields by their path.
type Document struct {
	file   string
	root   *yaml.Node
	faults []Fault
}

// Decode reads text into out, a pointer to a struct whose fields carry yaml
// tags; fields without omitempty are required. It returns a Document even when there are faults, so that the caller's
// rules can add theirs; only text that is not YAML at all ends at once.
func Decode(file string, text []byte, out any) (*Document, error) {
	d := &Document{file: file}
	var node yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(text))
	if err := dec.Decode(&node); err != nil {
		return nil, d.syntax(err)
	}
	var more yaml.Node
	if err := dec.Decode(&more); err != io.EOF {
		return nil, &FaultsError{Faults: []Fault{{
			File: file, Line: more.Line, Field: "(document)", Allowed: "one YAML document in a file",
		}}}
	}
	d.root = node.Content[0]
	d.walk(d.root, reflect.TypeOf(out).Elem(), "")
	if len(d.faults) > 0 {
		return d, nil
	}
	if err := d.root.Decode(out); err != nil {
		d.add(d.root, "(document)", "", err.Error())
	}
	return d, nil
}

func (d *Document) syntax(err error) error {
	allowed := "a YAML document: " + strings.TrimPrefix(err.Error(), "yaml: ")
	if err == io.EOF {
		allowed = "a YAML document that is not empty"
	}
	line := 1
	var n int
	if _, scanErr := fmt.Sscanf(err.Error(), "yaml: line %d:", &n); scanErr == nil {
		line = n
	}
	return &FaultsError{Faults: []Fault{{File: d.file, Line: line, Field: "(document)", Allowed: allowed}}}
}

// AddFault records a fault at path, which is looked up to find its line.
func (d *Document) AddFault(path, allowed string) {
	node := d.find(path)
	value := ""
	if node.Kind == yaml.ScalarNode && d.exact(path) {
		value = node.Value
	}
	d.add(node, path, value, allowed)
}

// HasFaults tells whether any fault was recorded.
func (d *Document) HasFaults() bool { return len(d.faults) > 0 }

// Err returns a *FaultsError when there are faults, else nil.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].Line < d.faults[j].Line })
	return &FaultsError{Faults: d.faults}
}

func (d *Document) add(node *yaml.Node, path, value, allowed string) {
	if len(value) > maxShownValue {
		value = value[:maxShownValue] + "..."
	}
	d.faults = append(d.faults, Fault{File: d.file, Line: node.Line, Field: path, Value: value, Allowed: allowed})
}

// walk checks node against the type that it is to be decoded into.
func (d *Document) walk(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind == yaml.AliasNode {
		d.add(node, named(path), "*"+node.Value, "the value itself; aliases are not allowed")
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		d.walk(node, t.Elem(), path)
	case reflect.Struct:
		d.walkStruct(node, t, path)
	case reflect.Slice:
		d.walkSlice(node, t, path)
	default:
		d.walkScalar(node, t, path)
	}
}

func (d *Document) walkStruct(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind != yaml.MappingNode {
		d.add(node, named(path), node.Value, "a mapping with the fields "+strings.Join(fieldNames(t), ", "))
		return
	}
	seen := make(map[string]bool, len(node.Content))
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		field := join(path, key.Value)
		if seen[key.Value] {
			d.add(key, field, key.Value, "each field once")
			continue
		}
		seen[key.Value] = true
		ft, ok := fieldType(t, key.Value)
		if !ok {
			d.add(key, field, key.Value, "unknown field; known here: "+strings.Join(fieldNames(t), ", "))
			continue
		}
		d.walk(node.Content[i+1], ft, field)
	}
	d.required(node, t, path, seen)
}

// required records the fields that have no omitempty and are not written.
func (d *Document) required(node *yaml.Node, t reflect.Type, path string, seen map[string]bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		name := tagName(f)
		if seen[name] || strings.Contains(f.Tag.Get("yaml"), ",omitempty") {
			continue
		}
		d.add(node, join(path, name), "", "missing; a "+kindName(f.Type)+" is required here")
	}
}

func (d *Document) walkSlice(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind != yaml.SequenceNode {
		d.add(node, named(path), node.Value, "a list")
		return
	}
	for i, item := range node.Content {
		d.walk(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *Document) walkScalar(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind != yaml.ScalarNode {
		d.add(node, named(path), "", "a single "+kindName(t))
		return
	}
	if node.Tag == "!!null" {
		d.add(node, named(path), node.Value, "a "+kindName(t)+"; leave the field out for its default")
		return
	}
	if t.Kind() == reflect.String && node.Tag != "!!str" {
		d.add(node, named(path), node.Value, "a string; put it in quotes")
		return
	}
	if err := node.Decode(reflect.New(t).Interface()); err != nil {
		d.add(node, named(path), node.Value, "a "+kindName(t))
	}
}

func kindName(t reflect.Type) string {
	if t.PkgPath() == "time" && t.Name() == "Duration" {
		return `duration such as "250ms" or "3s"`
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int32, reflect.Int64, reflect.Uint32, reflect.Uint64:
		return "whole number"
	case reflect.Float64:
		return "number"
	case reflect.Slice:
		return "list"
	case reflect.Struct:
		return "mapping"
	default:
		return "string"
	}
}

func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if tagName(t.Field(i)) == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, tagName(t.Field(i)))
	}
	return names
}

func tagName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

func named(path string) string {
	if path == "" {
		return "(document)"
	}
	return path
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
