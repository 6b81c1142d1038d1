package picker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
)

// Health is what the observer believes of an endpoint.
type Health uint8

// The states of health. Leaving is the endpoint's own word and is never
// overruled; HealthSuspect and HealthDead are the observer's and may be wrong.
const (
	HealthAlive Health = iota
	HealthSuspect
	HealthDead
	HealthLeaving
)

// State is what the observer knows of an endpoint besides its configuration.
type State struct {
	// Health is the observer's belief.
	Health Health
	// Since is when the endpoint's present incarnation was first seen; it starts
	// the slow start. Zero means long ago.
	Since time.Time
}

// Locality is where the observer stands.
type Locality struct {
	// FailureDomain and Region are the observer's own.
	FailureDomain, Region string
}

const (
	// fullWeight is the drain weight of a full share.
	fullWeight = 100
	// slowStart is how long a new endpoint's share grows.
	slowStart = 30 * time.Second
	// slowStartPercent is the share that a new endpoint begins with.
	slowStartPercent = 10
	// maxIllPercent is the share of a pool that may be excluded as ill. When
	// more look ill the observer distrusts itself and probes them too.
	maxIllPercent = 50
)

// The tiers of distance.
const (
	tierLocal = iota
	tierRegion
	tierFar
	tiers
)

// endpoint is one endpoint of a snapshot.
type endpoint struct {
	name   string
	hash   uint64
	weight uint8
	tier   uint8
	ill    bool
	slots  int
}

// poolKey names the endpoints that can serve a kind of request.
type poolKey struct {
	model   string
	service string
	role    deployment.Role
}

// pool holds the positions of the endpoints that may be chosen.
type pool struct {
	// tier lists endpoints by distance.
	tier [tiers][]int32
	// near joins the local and the region tier.
	near []int32
	// nearHomes and farHomes map prefixes to endpoints.
	nearHomes, farHomes homes
	// all joins the tiers.
	all            []int32
	ill            []int32
	known, drained int
	floor          bool
}

// Snapshot is an immutable view of the endpoints at one moment.
type Snapshot struct {
	*topology
	// hints are the last load reports by position, or nil.
	hints []Load
	// loaded holds the pools whose near endpoints are loaded.
	loaded map[*pool]bool
}

// topology is the part of a snapshot that changes with the deployment and the
// endpoints' health.
type topology struct {
	version   uint64
	endpoints []endpoint
	byName    map[string]int32
	pools     map[poolKey]*pool
}

// NewSnapshot builds a snapshot of d as seen from view at now. An endpoint
// without an entry in states counts as alive since long ago. The caller must
// not change d afterwards.
func NewSnapshot(d *deployment.Deployment, version uint64, view Locality, states map[string]State, now time.Time) *Snapshot {
	s := &topology{
		version:   version,
		endpoints: make([]endpoint, len(d.Endpoints)),
		byName:    make(map[string]int32, len(d.Endpoints)),
		pools:     make(map[poolKey]*pool),
	}
	models := groupModels(d)
	for i := range d.Endpoints {
		e := &d.Endpoints[i]
		st := states[e.Name]
		s.endpoints[i] = newEndpoint(d, e, view, st, now)
		s.byName[e.Name] = int32(i)
		for _, key := range keysOf(e, models) {
			s.pool(key).add(int32(i), &s.endpoints[i])
		}
	}
	tables := homesCache{endpoints: s.endpoints}
	for _, p := range s.pools {
		p.finish(&tables)
	}
	return &Snapshot{topology: s}
}

// WithHints returns a snapshot of the same endpoints with other load reports,
// by position, as of now. A report without a time counts as missing. The caller
// must not change hints afterwards.
func (s *Snapshot) WithHints(hints []Load, now time.Time) *Snapshot {
	if len(hints) != len(s.endpoints) {
		return &Snapshot{topology: s.topology}
	}
	next := &Snapshot{topology: s.topology, hints: hints, loaded: make(map[*pool]bool)}
	for _, p := range s.pools {
		if len(p.tier[tierFar]) > 0 && next.nearLoaded(p, now) {
			next.loaded[p] = true
		}
	}
	return next
}

// nearLoaded says whether fresh hints show the near endpoints of p as loaded.
func (s *Snapshot) nearLoaded(p *pool, now time.Time) bool {
	fresh, running, slots := 0, 0, 0
	for _, i := range p.near {
		hint := &s.hints[i]
		if hint.At.IsZero() || now.Sub(hint.At) > hintLife {
			continue
		}
		fresh++
		running += hint.Running + hint.Queued
		slots += s.endpoints[i].slots
	}
	return fresh*spillHints >= len(p.near) && running*fullWeight > slots*spillPercent
}

// hint returns the last load report of the endpoint at position i.
func (s *Snapshot) hint(i int32) Load {
	if s.hints == nil {
		return Load{}
	}
	return s.hints[i]
}

// Version is the version of the deployment behind the snapshot.
func (s *Snapshot) Version() uint64 {
	return s.version
}

// Len is the number of endpoints; positions run below it.
func (s *Snapshot) Len() int {
	return len(s.endpoints)
}

// Name returns the name of the endpoint at position i.
func (s *Snapshot) Name(i int32) string {
	return s.endpoints[i].name
}

// Index returns the position of the endpoint called name.
func (s *Snapshot) Index(name string) (int32, bool) {
	i, ok := s.byName[name]
	return i, ok
}

// Eligible returns the positions of the endpoints that may take req, nearest
// first. The caller must not change the slice.
func (s *Snapshot) Eligible(req *Request) []int32 {
	p := s.pools[keyOf(req)]
	if p == nil {
		return nil
	}
	return p.all
}

func (s *topology) pool(key poolKey) *pool {
	p := s.pools[key]
	if p == nil {
		p = &pool{}
		s.pools[key] = p
	}
	return p
}

func groupModels(d *deployment.Deployment) map[string]string {
	models := make(map[string]string, len(d.Groups))
	for i := range d.Groups {
		models[d.Groups[i].Name] = d.Groups[i].Model
	}
	return models
}

func newEndpoint(d *deployment.Deployment, e *deployment.Endpoint, view Locality, st State, now time.Time) endpoint {
	weight := drainWeight(d, e)
	if st.Health == HealthLeaving {
		weight = 0
	}
	return endpoint{
		name:   e.Name,
		hash:   xxhash.Sum64String(e.Name),
		weight: rampedWeight(weight, st.Since, now),
		tier:   tierOf(e, view),
		ill:    st.Health == HealthSuspect || st.Health == HealthDead,
		slots:  max(e.Concurrency, 1),
	}
}

// drainWeight is the endpoint's own weight cut by the weights of its VM and
// its failure domain.
func drainWeight(d *deployment.Deployment, e *deployment.Endpoint) int {
	weight := e.Weight
	for _, w := range d.Weights {
		onVM := w.Scope == deployment.ScopeVM && w.Name == e.VM
		onDomain := w.Scope == deployment.ScopeFailureDomain && w.Name == e.FailureDomain
		if onVM || onDomain {
			weight = weight * w.Percent / fullWeight
		}
	}
	return min(max(weight, 0), fullWeight)
}

// rampedWeight cuts the weight of a new endpoint. A weight above 0 stays above
// 0, so that an endpoint is never drained by its age.
func rampedWeight(weight int, since, now time.Time) uint8 {
	age := now.Sub(since)
	if weight == 0 || since.IsZero() || age >= slowStart {
		return uint8(weight)
	}
	age = max(age, 0)
	percent := slowStartPercent + int(age*(fullWeight-slowStartPercent)/slowStart)
	return uint8(max(weight*percent/fullWeight, 1))
}

func tierOf(e *deployment.Endpoint, view Locality) uint8 {
	if e.FailureDomain == view.FailureDomain {
		return tierLocal
	}
	if e.Region == view.Region {
		return tierRegion
	}
	return tierFar
}

// keysOf lists the pools that an endpoint belongs to. An engine for both roles
// also serves requests that need one of them.
func keysOf(e *deployment.Endpoint, models map[string]string) []poolKey {
	if e.Kind == deployment.KindService {
		return []poolKey{{service: e.Service, role: deployment.RoleBoth}}
	}
	model := models[e.Group]
	switch e.Role {
	case deployment.RolePrefill, deployment.RoleDecode:
		return []poolKey{{model: model, role: e.Role}}
	default:
		return []poolKey{
			{model: model, role: deployment.RoleBoth},
			{model: model, role: deployment.RolePrefill},
			{model: model, role: deployment.RoleDecode},
		}
	}
}

func keyOf(req *Request) poolKey {
	key := poolKey{model: req.Model, service: req.Service, role: req.Role}
	if key.role == "" {
		key.role = deployment.RoleBoth
	}
	return key
}

// add files an endpoint. Drained endpoints are counted and left out.
func (p *pool) add(i int32, e *endpoint) {
	p.known++
	if e.weight == 0 {
		p.drained++
		return
	}
	if e.ill {
		p.ill = append(p.ill, i)
		return
	}
	p.tier[e.tier] = append(p.tier[e.tier], i)
}

// finish applies the floor and joins the tiers.
func (p *pool) finish(tables *homesCache) {
	open := p.known - p.drained
	p.floor = len(p.ill)*fullWeight > open*maxIllPercent
	if p.floor {
		for _, i := range p.ill {
			t := tables.endpoints[i].tier
			p.tier[t] = append(p.tier[t], i)
		}
	}
	for t := range p.tier {
		p.all = append(p.all, p.tier[t]...)
	}
	near := len(p.tier[tierLocal]) + len(p.tier[tierRegion])
	p.near = p.all[:near:near]
	if near == 0 {
		p.near = p.all
	}
	p.nearHomes = tables.get(p.near)
	p.farHomes = tables.get(p.tier[tierFar])
}
