// Package strictyaml decodes a YAML document into a struct and reports every fault
// in it: unknown fields, repeated fields, missing fields, values of the wrong type,
// and violations of the caller's own rules. All faults are reported together, each
// with file, line, field, value and a description of the allowed values.
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

// maxValueBytes limits the part of an invalid value that a fault repeats.
const maxValueBytes = 80

// Fault is one error in a document.
type Fault struct {
	// File is the name that the caller gave the document.
	File string
	// Line counts from 1; 0 means that the line is unknown.
	Line int
	// Field is the path to the field, such as "endpoints[2].address".
	Field string
	// Value is the invalid value as written; empty if the field is missing.
	Value string
	// Allowed describes the values that are accepted.
	Allowed string
}

// String formats the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %q: %s", f.File, f.Line, f.Field, f.Value, f.Allowed)
}

// FaultsError holds all faults of one document, in the order of their lines.
type FaultsError struct {
	Faults []Fault
}

// Error lists the faults, one per line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Document is a decoded document. It finds the line of a field by its path and
// collects the faults.
type Document struct {
	file   string
	root   *yaml.Node
	faults []Fault
}

// Decode decodes text into out, a pointer to a struct whose fields have yaml tags.
// Fields without omitempty are required. Faults of the content are recorded in the
// returned Document, so that the caller can add its own. The error is a
// *FaultsError if text is not exactly one YAML document.
func Decode(file string, text []byte, out any) (*Document, error) {
	d := &Document{file: file}
	var node yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(text))
	if err := dec.Decode(&node); err != nil {
		return nil, d.syntaxError(err)
	}
	var extra yaml.Node
	if err := dec.Decode(&extra); err != io.EOF {
		return nil, &FaultsError{Faults: []Fault{{
			File: file, Line: extra.Line, Field: "(document)", Allowed: "one YAML document in a file",
		}}}
	}
	d.root = node.Content[0]
	d.check(d.root, reflect.TypeOf(out).Elem(), "")
	if len(d.faults) > 0 {
		return d, nil
	}
	if err := d.root.Decode(out); err != nil {
		d.add(d.root, "(document)", "", err.Error())
	}
	return d, nil
}

func (d *Document) syntaxError(err error) error {
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

// AddFault records a fault of the field at path. The line is that of the field or,
// if it is not written, of the nearest enclosing value.
func (d *Document) AddFault(path, allowed string) {
	node := d.find(path)
	value := ""
	if node.Kind == yaml.ScalarNode && d.exists(path) {
		value = node.Value
	}
	d.add(node, path, value, allowed)
}

// HasFaults reports whether a fault was recorded.
func (d *Document) HasFaults() bool { return len(d.faults) > 0 }

// Err returns a *FaultsError with all faults in the order of their lines, or nil if
// there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].Line < d.faults[j].Line })
	return &FaultsError{Faults: d.faults}
}

func (d *Document) add(node *yaml.Node, path, value, allowed string) {
	if len(value) > maxValueBytes {
		value = value[:maxValueBytes] + "..."
	}
	d.faults = append(d.faults, Fault{File: d.file, Line: node.Line, Field: path, Value: value, Allowed: allowed})
}

// check records the faults of node as a value of type t.
func (d *Document) check(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind == yaml.AliasNode {
		d.add(node, pathOrDocument(path), "*"+node.Value, "the value itself; aliases are not allowed")
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		d.check(node, t.Elem(), path)
	case reflect.Struct:
		d.checkStruct(node, t, path)
	case reflect.Slice:
		d.checkSlice(node, t, path)
	default:
		d.checkScalar(node, t, path)
	}
}

func (d *Document) checkStruct(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind != yaml.MappingNode {
		d.add(node, pathOrDocument(path), node.Value, "a mapping with the fields "+strings.Join(fieldNames(t), ", "))
		return
	}
	seen := make(map[string]bool, len(node.Content))
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		field := joinPath(path, key.Value)
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
		d.check(node.Content[i+1], ft, field)
	}
	d.addMissing(node, t, path, seen)
}

// addMissing records a fault for each field without omitempty that is not in seen.
func (d *Document) addMissing(node *yaml.Node, t reflect.Type, path string, seen map[string]bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		name := tagName(f)
		if seen[name] || strings.Contains(f.Tag.Get("yaml"), ",omitempty") {
			continue
		}
		d.add(node, joinPath(path, name), "", "missing; a "+kindName(f.Type)+" is required here")
	}
}

func (d *Document) checkSlice(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind != yaml.SequenceNode {
		d.add(node, pathOrDocument(path), node.Value, "a list")
		return
	}
	for i, item := range node.Content {
		d.check(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *Document) checkScalar(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind != yaml.ScalarNode {
		d.add(node, pathOrDocument(path), "", "a single "+kindName(t))
		return
	}
	if node.Tag == "!!null" {
		d.add(node, pathOrDocument(path), node.Value, "a "+kindName(t)+"; leave the field out for its default")
		return
	}
	if t.Kind() == reflect.String && node.Tag != "!!str" {
		d.add(node, pathOrDocument(path), node.Value, "a string; put it in quotes")
		return
	}
	if err := node.Decode(reflect.New(t).Interface()); err != nil {
		d.add(node, pathOrDocument(path), node.Value, "a "+kindName(t))
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

func pathOrDocument(path string) string {
	if path == "" {
		return "(document)"
	}
	return path
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
