package strictyaml

import (
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// find returns the node at path or, if there is none, its nearest existing ancestor.
func (d *Document) find(path string) *yaml.Node {
	node, _ := d.lookup(path)
	return node
}

// exists reports whether the document contains the field at path.
func (d *Document) exists(path string) bool {
	_, ok := d.lookup(path)
	return ok
}

// lookup returns the node at path and true, or the nearest existing ancestor and
// false.
func (d *Document) lookup(path string) (*yaml.Node, bool) {
	node := d.root
	for _, step := range splitPath(path) {
		next := child(node, step)
		if next == nil {
			return node, false
		}
		node = next
	}
	return node, true
}

// splitPath splits "endpoints[2].address" into "endpoints", "2", "address".
func splitPath(path string) []string {
	path = strings.NewReplacer("[", ".", "]", "").Replace(path)
	if path == "" {
		return nil
	}
	return strings.Split(path, ".")
}

func child(node *yaml.Node, step string) *yaml.Node {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == step {
				return node.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		i, err := strconv.Atoi(step)
		if err == nil && i >= 0 && i < len(node.Content) {
			return node.Content[i]
		}
	}
	return nil
}
