package deployment

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"github.com/cyclamenpoint/cyclamenpoint/strictyaml"
)

// Limits on the size of a configuration, and the drain weight in percent of an
// endpoint that receives its full share of requests.
const (
	maxEndpoints     = 10_000
	maxOrganisations = 10_000
	maxRanks         = 1_024
	maxExperts       = 4_096
	maxLayers        = 1_024
	fullWeight       = 100
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern = regexp.MustCompile(`^/[A-Za-z0-9/._~-]*$`)
)

const nameAllowed = "1 to 63 of a-z, 0-9, '.', '_' and '-', beginning and ending with a letter or digit"

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// checker records the faults of a deployment in doc.
type checker struct {
	doc *strictyaml.Document
	d   *Deployment
}

// check records a fault in doc for each rule that d violates.
func check(doc *strictyaml.Document, d *Deployment) {
	c := &checker{doc: doc, d: d}
	c.name("name", d.Name)
	c.models()
	c.groups()
	c.services()
	c.endpoints()
	c.ranks()
	c.organisations()
	c.weights()
	c.evacuated()
}

func (c *checker) fault(path, format string, args ...any) {
	c.doc.AddFault(path, fmt.Sprintf(format, args...))
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.fault(path, nameAllowed)
	}
}

// unique checks that names are valid and distinct and returns the set of them.
func (c *checker) unique(list string, names []string) map[string]bool {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		path := fmt.Sprintf("%s[%d].name", list, i)
		c.name(path, name)
		if seen[name] {
			c.fault(path, "a name that no other entry of %s has", list)
		}
		seen[name] = true
	}
	return seen
}

func (c *checker) checkRange(path string, v, low, high int) {
	if v < low || v > high {
		c.fault(path, "a whole number from %d to %d", low, high)
	}
}

func oneOf[T ~string](c *checker, path string, v T, allowed ...T) {
	names := make([]string, 0, len(allowed))
	for _, a := range allowed {
		if v == a {
			return
		}
		names = append(names, string(a))
	}
	c.fault(path, "one of %s", strings.Join(names, ", "))
}

func (c *checker) models() {
	names := make([]string, 0, len(c.d.Models))
	for i, m := range c.d.Models {
		names = append(names, m.Name)
		c.checkRange(fmt.Sprintf("models[%d].max_tokens", i), m.MaxTokens, 1, 1_000_000)
		oneOf(c, fmt.Sprintf("models[%d].repeat", i), m.Repeat, RepeatAlways, RepeatUnlessRun)
	}
	c.unique("models", names)
}

func (c *checker) groups() {
	names := make([]string, 0, len(c.d.Groups))
	for i, g := range c.d.Groups {
		names = append(names, g.Name)
		at := fmt.Sprintf("groups[%d]", i)
		if !c.hasModel(g.Model) {
			c.fault(at+".model", "the name of an entry of models")
		}
		c.checkRange(at+".layers", g.Layers, 1, maxLayers)
		c.checkRange(at+".experts", g.Experts, 1, maxExperts)
		c.checkRange(at+".slots", g.Slots, 1, maxExperts)
		if g.ExpertBytes < 1 {
			c.fault(at+".expert_bytes", "a whole number of bytes above 0")
		}
		c.objective(at+".objective", g.Objective)
	}
	c.unique("groups", names)
}

func (c *checker) objective(at string, o Objective) {
	if o.Skew < 0 {
		c.fault(at+".skew", "a number of 0 or more")
	}
	if o.Move < 0 {
		c.fault(at+".move", "a number of 0 or more")
	}
	if o.Skew == 0 && o.Move == 0 {
		c.fault(at, "at least one of skew and move above 0")
	}
}

func (c *checker) services() {
	names := make([]string, 0, len(c.d.Services))
	for i, s := range c.d.Services {
		names = append(names, s.Name)
		at := fmt.Sprintf("services[%d]", i)
		if len(s.Routes) == 0 {
			c.fault(at+".routes", "at least one route")
		}
		c.routes(at, s.Routes)
	}
	c.unique("services", names)
}

func (c *checker) routes(service string, routes []Route) {
	seen := make(map[string]bool, len(routes))
	for i, r := range routes {
		at := fmt.Sprintf("%s.routes[%d]", service, i)
		oneOf(c, at+".method", r.Method, methods...)
		if !pathPattern.MatchString(r.Path) {
			c.fault(at+".path", "a path that begins with / and has only letters, digits and / . _ ~ -")
		}
		oneOf(c, at+".repeat", r.Repeat, RepeatAlways, RepeatUnlessRun, RepeatNever)
		if r.KeepAnswerSeconds < 0 {
			c.fault(at+".keep_answer_seconds", "a whole number of seconds, 0 or more")
		}
		if r.Repeat != RepeatNever && r.KeepAnswerSeconds > 0 {
			c.fault(at+".keep_answer_seconds", "left out unless repeat is %s", RepeatNever)
		}
		key := r.Method + " " + r.Path
		if seen[key] {
			c.fault(at+".path", "a method and path that no other route of the service has")
		}
		seen[key] = true
	}
}

func (c *checker) endpoints() {
	c.checkRange("endpoints", len(c.d.Endpoints), 1, maxEndpoints)
	names := make([]string, 0, len(c.d.Endpoints))
	agents := make(map[string]bool, len(c.d.Endpoints))
	for i, e := range c.d.Endpoints {
		names = append(names, e.Name)
		at := fmt.Sprintf("endpoints[%d]", i)
		c.endpoint(at, e)
		if agents[e.Agent] {
			c.fault(at+".agent", "an address that no other endpoint's agent has")
		}
		agents[e.Agent] = true
	}
	c.unique("endpoints", names)
}

func (c *checker) endpoint(at string, e Endpoint) {
	c.name(at+".vm", e.VM)
	c.name(at+".failure_domain", e.FailureDomain)
	c.name(at+".region", e.Region)
	c.address(at+".address", e.Address)
	c.address(at+".agent", e.Agent)
	c.checkRange(at+".concurrency", e.Concurrency, 1, 100_000)
	c.checkRange(at+".weight", e.Weight, 0, fullWeight)
	oneOf(c, at+".kind", e.Kind, KindEngine, KindService)
	switch e.Kind {
	case KindEngine:
		c.engine(at, e)
	case KindService:
		c.worker(at, e)
	}
}

func (c *checker) engine(at string, e Endpoint) {
	if c.d.Group(e.Group) == nil {
		c.fault(at+".group", "the name of an entry of groups")
	}
	c.checkRange(at+".rank", e.Rank, 0, maxRanks-1)
	oneOf(c, at+".role", e.Role, "", RoleBoth, RolePrefill, RoleDecode)
	if e.Service != "" {
		c.fault(at+".service", "left out for an engine")
	}
}

func (c *checker) worker(at string, e Endpoint) {
	if c.d.Service(e.Service) == nil {
		c.fault(at+".service", "the name of an entry of services")
	}
	if e.Group != "" {
		c.fault(at+".group", "left out for a service worker")
	}
	if e.Role != "" {
		c.fault(at+".role", "left out for a service worker")
	}
}

func (c *checker) address(path, address string) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 {
		c.fault(path, "an IP number and a port, such as 10.0.0.7:8000")
	}
}

// ranks checks that the ranks of each group are 0 to n-1 and that its slots are
// enough for all experts.
func (c *checker) ranks() {
	for gi, g := range c.d.Groups {
		at := fmt.Sprintf("groups[%d]", gi)
		count := 0
		seen := make(map[int]bool)
		for i, e := range c.d.Endpoints {
			if e.Kind != KindEngine || e.Group != g.Name {
				continue
			}
			count++
			if seen[e.Rank] {
				c.fault(fmt.Sprintf("endpoints[%d].rank", i), "a rank that no other endpoint of group %s has", g.Name)
			}
			seen[e.Rank] = true
		}
		if count == 0 {
			c.fault(at+".name", "a group that at least one endpoint belongs to")
			continue
		}
		for r := range count {
			if !seen[r] {
				c.fault(at+".name", "ranks 0 to %d without a gap; rank %d is missing", count-1, r)
				break
			}
		}
		if count*g.Slots < g.Experts {
			c.fault(at+".slots", "at least %d, so that %d ranks hold %d experts", (g.Experts+count-1)/count, count, g.Experts)
		}
	}
}

func (c *checker) organisations() {
	c.checkRange("organisations", len(c.d.Organisations), 1, maxOrganisations)
	names := make([]string, 0, len(c.d.Organisations))
	owners := make(map[string]string)
	for i, o := range c.d.Organisations {
		names = append(names, o.Name)
		at := fmt.Sprintf("organisations[%d]", i)
		c.keys(at, o, owners)
		c.checkRange(at+".share", o.Share, 1, 1_000_000)
		if o.Limits.RequestsPerSecond < 0 {
			c.fault(at+".limits.requests_per_second", "a number of 0 or more; 0 means no limit")
		}
		if o.Limits.TokensPerSecond < 0 {
			c.fault(at+".limits.tokens_per_second", "a number of 0 or more; 0 means no limit")
		}
		if o.Limits.Concurrent < 0 {
			c.fault(at+".limits.concurrent", "a whole number of 0 or more; 0 means no limit")
		}
	}
	c.unique("organisations", names)
}

func (c *checker) keys(at string, o Organisation, owners map[string]string) {
	if len(o.KeySHA256) == 0 {
		c.fault(at+".key_sha256", "at least one SHA-256 of an API key")
	}
	for k, hash := range o.KeySHA256 {
		path := fmt.Sprintf("%s.key_sha256[%d]", at, k)
		if !hashPattern.MatchString(hash) {
			c.fault(path, "64 hexadecimal digits in small letters")
		}
		if _, taken := owners[hash]; taken {
			c.fault(path, "a key that no other entry has")
		}
		owners[hash] = o.Name
	}
}

func (c *checker) weights() {
	seen := make(map[Weight]bool, len(c.d.Weights))
	for i, w := range c.d.Weights {
		at := fmt.Sprintf("weights[%d]", i)
		oneOf(c, at+".scope", w.Scope, ScopeVM, ScopeFailureDomain)
		c.checkRange(at+".percent", w.Percent, 0, fullWeight)
		if !c.matchesEndpoint(w) {
			c.fault(at+".name", "the %s of at least one endpoint", w.Scope)
		}
		key := Weight{Scope: w.Scope, Name: w.Name}
		if seen[key] {
			c.fault(at+".name", "each %s once", w.Scope)
		}
		seen[key] = true
	}
}

func (c *checker) evacuated() {
	seen := make(map[string]bool, len(c.d.Evacuated))
	for i, domain := range c.d.Evacuated {
		at := fmt.Sprintf("evacuated[%d]", i)
		if !c.matchesEndpoint(Weight{Scope: ScopeFailureDomain, Name: domain}) {
			c.fault(at, "the %s of at least one endpoint", ScopeFailureDomain)
		}
		if seen[domain] {
			c.fault(at, "each %s once", ScopeFailureDomain)
		}
		seen[domain] = true
	}
}

// matchesEndpoint reports whether the weight applies to any endpoint.
func (c *checker) matchesEndpoint(w Weight) bool {
	for i := range c.d.Endpoints {
		if w.covers(&c.d.Endpoints[i]) {
			return true
		}
	}
	return false
}

func (c *checker) hasModel(name string) bool {
	return c.d.Model(name) != nil
}
