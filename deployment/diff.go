package deployment

import (
	"fmt"
	"sort"
	"strconv"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Change is one field that differs between two configurations.
type Change struct {
	// Field is the path of the field. List entries are identified by name, as in
	// "endpoints[e1].weight".
	Field string
	// Old and New are the values; empty if the field is absent.
	Old string
	New string
}

// String formats the change on one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Field, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Field, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Field, c.Old, c.New)
	}
}

// Diff returns the changes from old to next, sorted by field.
func Diff(old, next *Deployment) ([]Change, error) {
	before, err := flatFields(old)
	if err != nil {
		return nil, err
	}
	after, err := flatFields(next)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for field, value := range before {
		if after[field] != value {
			changes = append(changes, Change{Field: field, Old: value, New: after[field]})
		}
	}
	for field, value := range after {
		if _, ok := before[field]; !ok {
			changes = append(changes, Change{Field: field, New: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes, nil
}

// flatFields returns all scalar values of a configuration by their path.
func flatFields(d *Deployment) (map[string]string, error) {
	var root yaml.Node
	if err := root.Encode(d); err != nil {
		return nil, errors.Wrap(err, "encode the configuration")
	}
	values := make(map[string]string)
	flatten(&root, "", values)
	return values, nil
}

// flatten adds the scalar values below node to values.
func flatten(node *yaml.Node, path string, values map[string]string) {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			field := node.Content[i].Value
			if path != "" {
				field = path + "." + field
			}
			flatten(node.Content[i+1], field, values)
		}
	case yaml.SequenceNode:
		for i, item := range node.Content {
			flatten(item, path+"["+entryName(item, i)+"]", values)
		}
	default:
		values[path] = strconv.Quote(node.Value)
	}
}

// entryName returns the name or the path of a list entry, or its index if it has
// neither.
func entryName(item *yaml.Node, i int) string {
	for k := 0; k+1 < len(item.Content); k += 2 {
		if item.Content[k].Value == "name" || item.Content[k].Value == "path" {
			return item.Content[k+1].Value
		}
	}
	return strconv.Itoa(i)
}
