package deployment

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/cyclamenpoint/cyclamenpoint/strictyaml"
)

// yamlIndent is the indentation of the canonical form, in spaces.
const yamlIndent = 2

// Parse parses and checks a configuration. The error is a *strictyaml.FaultsError
// that lists all faults of text; file is the name of text in the faults.
func Parse(file string, text []byte) (*Deployment, error) {
	var d Deployment
	doc, err := strictyaml.Decode(file, text, &d)
	if err != nil {
		return nil, err
	}
	if !doc.HasFaults() {
		check(doc, &d)
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	d.normalise()
	return &d, nil
}

// Canonical returns the canonical form of the configuration as YAML. It does not
// depend on the order in which the parsed text listed fields and entries.
func (d *Deployment) Canonical() ([]byte, error) {
	var out bytes.Buffer
	enc := yaml.NewEncoder(&out)
	enc.SetIndent(yamlIndent)
	if err := enc.Encode(d); err != nil {
		return nil, errors.Wrap(err, "encode the canonical form")
	}
	return out.Bytes(), nil
}

// Hash returns the SHA-256 of the canonical form, in hexadecimal.
func (d *Deployment) Hash() (string, error) {
	text, err := d.Canonical()
	if err != nil {
		return "", err
	}
	return HashOf(text), nil
}

// HashOf returns the SHA-256 of a canonical form, in hexadecimal.
func HashOf(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// normalise sorts all lists into canonical order and sets defaults.
func (d *Deployment) normalise() {
	sort.Slice(d.Models, func(i, j int) bool { return d.Models[i].Name < d.Models[j].Name })
	sort.Slice(d.Groups, func(i, j int) bool { return d.Groups[i].Name < d.Groups[j].Name })
	sort.Slice(d.Services, func(i, j int) bool { return d.Services[i].Name < d.Services[j].Name })
	sort.Slice(d.Endpoints, func(i, j int) bool { return d.Endpoints[i].Name < d.Endpoints[j].Name })
	sort.Slice(d.Organisations, func(i, j int) bool { return d.Organisations[i].Name < d.Organisations[j].Name })
	sort.Slice(d.Weights, func(i, j int) bool {
		if d.Weights[i].Scope != d.Weights[j].Scope {
			return d.Weights[i].Scope < d.Weights[j].Scope
		}
		return d.Weights[i].Name < d.Weights[j].Name
	})
	sort.Strings(d.Evacuated)
	for i := range d.Services {
		normaliseRoutes(d.Services[i].Routes)
	}
	for i := range d.Organisations {
		sort.Strings(d.Organisations[i].KeySHA256)
	}
	for i := range d.Endpoints {
		e := &d.Endpoints[i]
		if e.Kind == KindEngine && e.Role == "" {
			e.Role = RoleBoth
		}
	}
}

func normaliseRoutes(routes []Route) {
	sort.Slice(routes, func(i, j int) bool {
		if routes[i].Path != routes[j].Path {
			return routes[i].Path < routes[j].Path
		}
		return routes[i].Method < routes[j].Method
	})
	for i := range routes {
		if routes[i].Repeat == RepeatNever && routes[i].KeepAnswerSeconds == 0 {
			routes[i].KeepAnswerSeconds = DefaultKeepAnswerSeconds
		}
	}
}

// DefaultKeepAnswerSeconds is how long the answer of a protected call is kept if the
// route sets no other time.
const DefaultKeepAnswerSeconds = 24 * 60 * 60
