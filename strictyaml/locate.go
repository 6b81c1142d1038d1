package strictyaml

import (
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// find returns the node at path, or the nearest one above it that exists.
func (d *Document) find(path string) *yaml.Node {
	node, _ := d.descend(path)
	return node
}

// exact tells whether the field at path is written in the document.
func (d *Document) exact(path string) bool {
	_, ok := d.descend(path)
	return ok
}

func (d *Document) descend(path string) (*yaml.Node, bool) {
	node := d.root
	for _, step := range split(path) {
		next := child(node, step)
		if next == nil {
			return node, false
		}
		node = next
	}
	return node, true
}

// split turns "endpoints[2].address" into "endpoints", "2", "address".
func split(path string) []string {
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
