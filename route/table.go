package route

import (
	"hash/fnv"
	"net"
	"strings"
)

// Table is an indexed configuration for look-ups. It is immutable and safe for
// concurrent use.
type Table struct {
	config Config
	// routes holds the routes by host and path prefix.
	routes   map[string]map[string]*Route
	keys     map[string]*Organisation
	services map[string]*Service
}

// NewTable indexes a configuration. The caller must not change cfg afterwards.
func NewTable(cfg Config) *Table {
	t := &Table{
		config:   cfg,
		routes:   make(map[string]map[string]*Route),
		keys:     make(map[string]*Organisation),
		services: make(map[string]*Service),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		if t.routes[host] == nil {
			t.routes[host] = make(map[string]*Route)
		}
		t.routes[host][r.Prefix] = r
	}
	for i := range cfg.Organisations {
		for _, key := range cfg.Organisations[i].Keys {
			t.keys[key] = &cfg.Organisations[i]
		}
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.config.Limits }

// Services returns all services. The caller must not change them.
func (t *Table) Services() []Service { return t.config.Services }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match is the result of a look-up for one request.
type Match struct {
	Route *Route
	// Organisation is the caller's organisation; nil if the route needs no key and
	// the request has none, or an unknown one.
	Organisation *Organisation
	// Service is the service chosen for the request.
	Service *Service
	// Priority is that of the organisation if it has one, otherwise that of the
	// route.
	Priority int
	// Version is the version of the configuration.
	Version uint64
}

// Lookup finds the route, the organisation and the service of a request. If the route
// is split between services, id determines the service, so that the same request
// always goes to the same one. The error is a *DeniedError.
func (t *Table) Lookup(host, path, key, id string) (Match, error) {
	r := t.route(host, path)
	if r == nil {
		return Match{}, &DeniedError{Cause: CauseNoRoute, Version: t.config.Version}
	}
	m := Match{Route: r, Organisation: t.keys[key], Priority: r.Priority, Version: t.config.Version}
	if m.Organisation == nil && !r.Anonymous && len(t.config.Organisations) > 0 {
		return Match{}, &DeniedError{Cause: CauseNoKey, Version: t.config.Version}
	}
	if m.Organisation != nil && m.Organisation.HasPriority {
		m.Priority = m.Organisation.Priority
	}
	m.Service = t.services[r.service(id)]
	if m.Service == nil {
		return Match{}, &DeniedError{Cause: CauseNoRoute, Version: t.config.Version}
	}
	return m, nil
}

// route returns the route with the longest prefix of the path, or nil.
func (t *Table) route(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	prefixes := t.routes[strings.ToLower(host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// service returns the name of the route's service for the request with the given id,
// chosen by weight.
func (r *Route) service(id string) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	h := fnv.New32a()
	// Write of a hash never returns an error.
	_, _ = h.Write([]byte(id))
	n := int(h.Sum32() % uint32(total))
	for _, s := range r.Split {
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return ""
}
