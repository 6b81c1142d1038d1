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
	// Field is the path, with list entries by name: "endpoints[e1].weight".
	Field string
	// Old and New are the values; empty where the field is absent.
	Old string
	New string
}

// String gives the change on one line.
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

// Diff returns what changes from old to next, in the order of the fields.
func Diff(old, next *Deployment) ([]Change, error) {
	before, err := fields(old)
	if err != nil {
		return nil, err
	}
	after, err := fields(next)
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

// fields returns all single values of a configuration by their path.
func fields(d *Deployment) (map[string]string, error) {
	var root yaml.Node
	if err := root.Encode(d); err != nil {
		return nil, errors.Wrap(err, "encode the configuration")
	}
	flat := make(map[string]string)
	flatten(&root, "", flat)
	return flat, nil
}

func flatten(node *yaml.Node, path string, flat map[string]string) {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			field := node.Content[i].Value
			if path != "" {
				field = path + "." + field
			}
			flatten(node.Content[i+1], field, flat)
		}
	case yaml.SequenceNode:
		for i, item := range node.Content {
			flatten(item, path+"["+entryName(item, i)+"]", flat)
		}
	default:
		flat[path] = strconv.Quote(node.Value)
	}
}

// entryName names a list entry by its name, or by its place.
func entryName(item *yaml.Node, i int) string {
	for k := 0; k+1 < len(item.Content); k += 2 {
		if item.Content[k].Value == "name" || item.Content[k].Value == "path" {
			return item.Content[k+1].Value
		}
	}
	return strconv.Itoa(i)
}
