package deployment

import "slices"

// ScopeEndpoint selects a single endpoint. It is valid only for WithWeight, not in a
// configuration.
const ScopeEndpoint Scope = "endpoint"

// NotFoundError reports that a configuration has no endpoint, VM or failure domain
// with the name.
type NotFoundError struct {
	Scope Scope
	Name  string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return "the configuration has no " + string(e.Scope) + " called " + e.Name
}

// WithWeight returns a copy of the configuration with the drain weight of an
// endpoint, a VM or a failure domain set to weight, in percent. Errors are
// *NotFoundError or *strictyaml.FaultsError.
func (d *Deployment) WithWeight(scope Scope, name string, weight int) (*Deployment, error) {
	return d.changed(func(next *Deployment) error {
		if !next.setWeight(scope, name, weight) {
			return &NotFoundError{Scope: scope, Name: name}
		}
		return nil
	})
}

// WithEvacuation returns a copy of the configuration in which a failure domain is
// evacuated, or no longer is. The weights stay as they are. Errors are *NotFoundError or
// *strictyaml.FaultsError.
func (d *Deployment) WithEvacuation(domain string, evacuated bool) (*Deployment, error) {
	return d.changed(func(next *Deployment) error {
		checker := &checker{d: next}
		if !checker.matchesEndpoint(Weight{Scope: ScopeFailureDomain, Name: domain}) {
			return &NotFoundError{Scope: ScopeFailureDomain, Name: domain}
		}
		next.Evacuated = slices.DeleteFunc(next.Evacuated, func(other string) bool { return other == domain })
		if evacuated {
			next.Evacuated = append(next.Evacuated, domain)
		}
		return nil
	})
}

// changed returns a checked copy of the configuration after a change.
func (d *Deployment) changed(change func(next *Deployment) error) (*Deployment, error) {
	text, err := d.Canonical()
	if err != nil {
		return nil, err
	}
	next, err := Parse("configuration", text)
	if err != nil {
		return nil, err
	}
	if err := change(next); err != nil {
		return nil, err
	}
	text, err = next.Canonical()
	if err != nil {
		return nil, err
	}
	return Parse("configuration", text)
}

// setWeight sets a drain weight. It returns false if nothing in the scope has the
// name.
func (d *Deployment) setWeight(scope Scope, name string, weight int) bool {
	if scope == ScopeEndpoint {
		e := d.Endpoint(name)
		if e == nil {
			return false
		}
		e.Weight = weight
		return true
	}
	w := Weight{Scope: scope, Name: name, Percent: weight}
	checker := &checker{d: d}
	if !checker.matchesEndpoint(w) {
		return false
	}
	kept := d.Weights[:0]
	for _, old := range d.Weights {
		if old.Scope != scope || old.Name != name {
			kept = append(kept, old)
		}
	}
	d.Weights = kept
	if weight != fullWeight {
		d.Weights = append(d.Weights, w)
	}
	return true
}
