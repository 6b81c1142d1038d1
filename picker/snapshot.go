package picker

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
)

// Health is an endpoint's health as observed by this process.
type Health uint8

// The health states. HealthLeaving is announced by the endpoint itself and is
// reliable; HealthSuspect and HealthDead are observations and may be wrong.
const (
	HealthAlive Health = iota
	HealthSuspect
	HealthDead
	HealthLeaving
)

// State is the observed state of an endpoint.
type State struct {
	// Health is the observed health.
	Health Health
	// Since is when the current incarnation of the endpoint was first seen and its
	// slow start began. Zero means long ago.
	Since time.Time
}

// Locality is the location of the process that picks.
type Locality struct {
	// FailureDomain and Region are those of this process.
	FailureDomain, Region string
}

const (
	// fullWeight is the weight of an endpoint that gets its full share of requests.
	fullWeight = 100
	// slowStart is the time in which the weight of a new endpoint grows to its full
	// value.
	slowStart = 30 * time.Second
	// slowStartPercent is the share of its weight that a new endpoint starts with.
	slowStartPercent = 10
	// maxUnhealthyPercent is the share of a pool that may be excluded as unhealthy.
	// If more endpoints look unhealthy, the fault is probably on the observer's
	// side, and they are probed as well.
	maxUnhealthyPercent = 50
)

// The tiers of distance from this process: the same failure domain, the same region,
// and other regions.
const (
	tierLocal = iota
	tierRegion
	tierFar
	tiers
)

// endpoint is one endpoint of a snapshot.
type endpoint struct {
	name      string
	hash      uint64
	weight    uint8
	tier      uint8
	unhealthy bool
	slots     int
}

// poolKey identifies the endpoints that can serve one kind of request.
type poolKey struct {
	model   string
	service string
	role    deployment.Role
}

// pool holds the endpoints of one pool key, by their position in the snapshot.
type pool struct {
	// tier lists the eligible endpoints by distance.
	tier [tiers][]int32
	// nearby holds the local and the region tier, or all endpoints if both are
	// empty.
	nearby []int32
	// nearbyHomes and farHomes map prefixes to endpoints.
	nearbyHomes, farHomes homes
	// all holds all tiers, nearest first.
	all []int32
	// unhealthy lists the endpoints that look unhealthy, whether eligible or not.
	unhealthy []int32
	// total and drained count the endpoints of the pool.
	total, drained int
	// includesUnhealthy is true if unhealthy endpoints are eligible.
	includesUnhealthy bool
}

// Snapshot is an immutable view of the endpoints at one point in time.
type Snapshot struct {
	*topology
	// hints are the last load reports by endpoint position, or nil.
	hints []Load
	// nearbyOverloaded holds the pools whose nearby endpoints are overloaded.
	nearbyOverloaded map[*pool]bool
}

// topology is the part of a snapshot that changes with the deployment and the
// endpoints' health.
type topology struct {
	version   uint64
	endpoints []endpoint
	byName    map[string]int32
	pools     map[poolKey]*pool
}

// NewSnapshot builds a snapshot of d as seen from locality at time now. An endpoint
// without an entry in states counts as alive and past its slow start. The caller
// must not change d afterwards.
func NewSnapshot(d *deployment.Deployment, version uint64, locality Locality, states map[string]State, now time.Time) *Snapshot {
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
		s.endpoints[i] = newEndpoint(d, e, locality, st, now)
		s.byName[e.Name] = int32(i)
		for _, key := range poolKeysOf(e, models) {
			s.pool(key).add(int32(i), &s.endpoints[i])
		}
	}
	tables := homesCache{endpoints: s.endpoints}
	for _, p := range s.pools {
		p.build(&tables)
	}
	return &Snapshot{topology: s}
}

// WithHints returns a snapshot of the same endpoints with new load reports, indexed
// by endpoint position, as of now. A report without a time counts as missing. If the
// number of hints is wrong, the snapshot has none. The caller must not change hints
// afterwards.
func (s *Snapshot) WithHints(hints []Load, now time.Time) *Snapshot {
	if len(hints) != len(s.endpoints) {
		return &Snapshot{topology: s.topology}
	}
	next := &Snapshot{topology: s.topology, hints: hints, nearbyOverloaded: make(map[*pool]bool)}
	for _, p := range s.pools {
		if len(p.tier[tierFar]) > 0 && next.nearbyLoaded(p, now) {
			next.nearbyOverloaded[p] = true
		}
	}
	return next
}

// nearbyLoaded reports whether fresh hints show that the nearby endpoints of p are
// overloaded.
func (s *Snapshot) nearbyLoaded(p *pool, now time.Time) bool {
	fresh, running, slots := 0, 0, 0
	for _, i := range p.nearby {
		hint := &s.hints[i]
		if hint.At.IsZero() || now.Sub(hint.At) > hintTTL {
			continue
		}
		fresh++
		running += hint.Running + hint.Queued
		slots += s.endpoints[i].slots
	}
	return fresh*minFreshHintsDivisor >= len(p.nearby) && running*fullWeight > slots*spillPercent
}

// hint returns the last load report of the endpoint at position i, or a zero Load.
func (s *Snapshot) hint(i int32) Load {
	if s.hints == nil {
		return Load{}
	}
	return s.hints[i]
}

// Version returns the version of the deployment that the snapshot was built from.
func (s *Snapshot) Version() uint64 {
	return s.version
}

// Len returns the number of endpoints. Positions run from 0 to Len-1.
func (s *Snapshot) Len() int {
	return len(s.endpoints)
}

// Name returns the name of the endpoint at position i.
func (s *Snapshot) Name(i int32) string {
	return s.endpoints[i].name
}

// Index returns the position of the endpoint with the given name.
func (s *Snapshot) Index(name string) (int32, bool) {
	i, ok := s.byName[name]
	return i, ok
}

// Eligible returns the positions of the endpoints that can serve req, nearest first.
// The caller must not change the slice.
func (s *Snapshot) Eligible(req *Request) []int32 {
	p := s.pools[poolKeyOf(req)]
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

func newEndpoint(d *deployment.Deployment, e *deployment.Endpoint, locality Locality, st State, now time.Time) endpoint {
	weight := drainWeight(d, e)
	if st.Health == HealthLeaving {
		weight = 0
	}
	return endpoint{
		name:      e.Name,
		hash:      xxhash.Sum64String(e.Name),
		weight:    rampedWeight(weight, st.Since, now),
		tier:      tierOf(e, locality),
		unhealthy: st.Health == HealthSuspect || st.Health == HealthDead,
		slots:     max(e.Concurrency, 1),
	}
}

// drainWeight returns the weight of an endpoint, scaled by the weights of its VM and
// its failure domain. Operators set these weights to drain them. It is 0 for an endpoint
// of an evacuated failure domain.
func drainWeight(d *deployment.Deployment, e *deployment.Endpoint) int {
	if slices.Contains(d.Evacuated, e.FailureDomain) {
		return 0
	}
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

// rampedWeight reduces the weight of an endpoint during its slow start. A weight
// above 0 stays above 0, because a weight of 0 would drain the endpoint.
func rampedWeight(weight int, since, now time.Time) uint8 {
	age := now.Sub(since)
	if weight == 0 || since.IsZero() || age >= slowStart {
		return uint8(weight)
	}
	age = max(age, 0)
	percent := slowStartPercent + int(age*(fullWeight-slowStartPercent)/slowStart)
	return uint8(max(weight*percent/fullWeight, 1))
}

func tierOf(e *deployment.Endpoint, locality Locality) uint8 {
	if e.FailureDomain == locality.FailureDomain {
		return tierLocal
	}
	if e.Region == locality.Region {
		return tierRegion
	}
	return tierFar
}

// poolKeysOf returns the keys of the pools that an endpoint belongs to. An engine for
// both roles also serves requests that need only one of them.
func poolKeysOf(e *deployment.Endpoint, models map[string]string) []poolKey {
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

func poolKeyOf(req *Request) poolKey {
	key := poolKey{model: req.Model, service: req.Service, role: req.Role}
	if key.role == "" {
		key.role = deployment.RoleBoth
	}
	return key
}

// add adds an endpoint to the pool. Drained endpoints are counted but not added.
func (p *pool) add(i int32, e *endpoint) {
	p.total++
	if e.weight == 0 {
		p.drained++
		return
	}
	if e.unhealthy {
		p.unhealthy = append(p.unhealthy, i)
		return
	}
	p.tier[e.tier] = append(p.tier[e.tier], i)
}

// build completes the pool once all endpoints are added: it makes unhealthy endpoints
// eligible if too many are unhealthy, and joins the tiers.
func (p *pool) build(tables *homesCache) {
	active := p.total - p.drained
	p.includesUnhealthy = len(p.unhealthy)*fullWeight > active*maxUnhealthyPercent
	if p.includesUnhealthy {
		for _, i := range p.unhealthy {
			t := tables.endpoints[i].tier
			p.tier[t] = append(p.tier[t], i)
		}
	}
	for t := range p.tier {
		p.all = append(p.all, p.tier[t]...)
	}
	near := len(p.tier[tierLocal]) + len(p.tier[tierRegion])
	p.nearby = p.all[:near:near]
	if near == 0 {
		p.nearby = p.all
	}
	p.nearbyHomes = tables.get(p.nearby)
	p.farHomes = tables.get(p.tier[tierFar])
}
