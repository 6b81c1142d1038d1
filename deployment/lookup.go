package deployment

// Model returns the model with the name, or nil.
func (d *Deployment) Model(name string) *Model {
	for i := range d.Models {
		if d.Models[i].Name == name {
			return &d.Models[i]
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
func (d *Deployment) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Endpoint returns the endpoint with the name, or nil.
func (d *Deployment) Endpoint(name string) *Endpoint {
	for i := range d.Endpoints {
		if d.Endpoints[i].Name == name {
			return &d.Endpoints[i]
		}
	}
	return nil
}

// Organisation returns the organisation with the name, or nil.
func (d *Deployment) Organisation(name string) *Organisation {
	for i := range d.Organisations {
		if d.Organisations[i].Name == name {
			return &d.Organisations[i]
		}
	}
	return nil
}

// Group returns the rank group with the name, or nil.
func (d *Deployment) Group(name string) *Group {
	for i := range d.Groups {
		if d.Groups[i].Name == name {
			return &d.Groups[i]
		}
	}
	return nil
}

// Ranks returns the endpoints of a group, ordered by rank.
func (d *Deployment) Ranks(group string) []Endpoint {
	var ranks []Endpoint
	for _, e := range d.Endpoints {
		if e.Kind == KindEngine && e.Group == group {
			ranks = append(ranks, e)
		}
	}
	ordered := make([]Endpoint, len(ranks))
	for _, e := range ranks {
		ordered[e.Rank] = e
	}
	return ordered
}

// ModelOf returns the model that an engine serves, or "" for a service worker.
func (d *Deployment) ModelOf(e *Endpoint) string {
	g := d.Group(e.Group)
	if g == nil {
		return ""
	}
	return g.Model
}

// Interchangeable returns the names of all endpoints, including the named one, that
// serve the same model or service as it does, in canonical order. It returns nil if
// there is no such endpoint.
func (d *Deployment) Interchangeable(name string) []string {
	e := d.Endpoint(name)
	if e == nil {
		return nil
	}
	return d.ServingEndpoints(d.ModelOf(e), e.Service)
}

// ServingEndpoints returns the names of the endpoints that serve a model or a
// service, in canonical order. The other argument is empty.
func (d *Deployment) ServingEndpoints(model, service string) []string {
	var names []string
	for i := range d.Endpoints {
		e := &d.Endpoints[i]
		if e.Service == service && d.ModelOf(e) == model {
			names = append(names, e.Name)
		}
	}
	return names
}

// EffectiveWeight returns the drain weight of the endpoint, from 0 to 100, scaled by
// the weights of its VM and its failure domain.
func (d *Deployment) EffectiveWeight(e *Endpoint) int {
	weight := e.Weight
	for _, w := range d.Weights {
		if w.covers(e) {
			weight = weight * w.Percent / fullWeight
		}
	}
	return weight
}

// covers reports whether the weight applies to e.
func (w Weight) covers(e *Endpoint) bool {
	switch w.Scope {
	case ScopeVM:
		return w.Name == e.VM
	case ScopeFailureDomain:
		return w.Name == e.FailureDomain
	}
	return false
}

// Route returns the route of the service for a method and path, or nil.
func (s *Service) Route(method, path string) *Route {
	for i := range s.Routes {
		if s.Routes[i].Method == method && s.Routes[i].Path == path {
			return &s.Routes[i]
		}
	}
	return nil
}
