// Package operator builds a deployment's configuration from typed values and
// prints it as YAML. Operators write a short program as the source of the
// configuration, review its output, check it, and submit it.
//
// References between parts are Go values, so that a group cannot refer to a model
// that does not exist. The system itself checks all other rules. The library does
// not import any package of the servers.
package operator

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// yamlIndent is the indentation of the printed configuration, in spaces.
const yamlIndent = 2

// FullWeight is the drain weight, in percent, of an endpoint that receives its full
// share of requests.
const FullWeight = 100

// Deployment collects the parts of a configuration. It is not safe for concurrent
// use.
type Deployment struct {
	doc document
}

// New returns an empty deployment with a name.
func New(name string) *Deployment {
	return &Deployment{doc: document{Name: name}}
}

// Repeat is a repeat rule: it states whether a request may run more than once.
type Repeat string

// The repeat rules.
const (
	// Always allows a request to run any number of times.
	Always Repeat = "always"
	// UnlessRun allows a retry only if the request provably did not run.
	UnlessRun Repeat = "unless-run"
	// Never allows a request to run at most once. Callers must send an idempotency
	// key.
	Never Repeat = "never"
)

// Model is a model of the deployment.
type Model struct {
	name string
}

// Model adds a model. maxTokens limits the number of tokens of one answer.
func (d *Deployment) Model(name string, maxTokens int, repeat Repeat) Model {
	d.doc.Models = append(d.doc.Models, modelDoc{Name: name, MaxTokens: maxTokens, Repeat: repeat})
	return Model{name: name}
}

// Shape describes the size of the model of a rank group.
type Shape struct {
	// Layers is the number of layers that have experts.
	Layers int
	// Experts is the number of experts in a layer.
	Experts int
	// Slots is the number of experts per layer that one rank holds.
	Slots int
	// ExpertBytes is the size of one expert's weights, in bytes.
	ExpertBytes int64
}

// Objective weighs step-time skew against the cost of rebalancing.
type Objective struct {
	// Skew is the weight of step-time skew.
	Skew float64
	// Move is the weight of the cost of moving experts to rebalance the group.
	Move float64
}

// Group is a rank group of the deployment.
type Group struct {
	name string
}

// Group adds a rank group that serves a model.
func (d *Deployment) Group(name string, model Model, shape Shape, objective Objective) Group {
	d.doc.Groups = append(d.doc.Groups, groupDoc{
		Name: name, Model: model.name,
		Layers: shape.Layers, Experts: shape.Experts, Slots: shape.Slots, ExpertBytes: shape.ExpertBytes,
		Objective: objectiveDoc(objective),
	})
	return Group{name: name}
}

// Place is the location and the addresses of an endpoint and the agent beside it.
type Place struct {
	VM            string
	FailureDomain string
	Region        string
	// Address is the address of the endpoint itself, as IP:port.
	Address string
	// Agent is the address of the agent, as IP:port.
	Agent string
}

// EngineOptions describes a model engine.
type EngineOptions struct {
	// Rank is the engine's rank in its group, from 0.
	Rank int
	// Concurrency is the number of requests that the engine runs at the same time.
	Concurrency int
	// ChecksFencing states whether the engine rejects orders with an old fencing
	// token.
	ChecksFencing bool
	// ChecksOrderer states whether the engine checks the sender of an order.
	ChecksOrderer bool
	// Resumes states whether the engine can resume a stream at a given token.
	Resumes bool
}

// Engine adds a model engine to a group.
func (d *Deployment) Engine(name string, group Group, place Place, opts EngineOptions) {
	e := endpointAt(name, "engine", place, opts.Concurrency)
	e.Group = group.name
	e.Rank = opts.Rank
	e.ChecksFencing = opts.ChecksFencing
	e.ChecksOrderer = opts.ChecksOrderer
	e.Resumes = opts.Resumes
	d.doc.Endpoints = append(d.doc.Endpoints, e)
}

// Route is a call of a plain service.
type Route struct {
	Method string
	Path   string
	Repeat Repeat
	// KeepAnswerSeconds is how long the answer of a route with the rule Never is
	// kept for replay; 0 selects the system's default.
	KeepAnswerSeconds int
}

// Service is a plain HTTP service of the deployment, as opposed to a model.
type Service struct {
	name string
}

// Service adds a plain service.
func (d *Deployment) Service(name string, routes ...Route) Service {
	s := serviceDoc{Name: name}
	for _, r := range routes {
		s.Routes = append(s.Routes, routeDoc(r))
	}
	d.doc.Services = append(d.doc.Services, s)
	return Service{name: name}
}

// Worker adds a worker of a plain service.
func (d *Deployment) Worker(name string, service Service, place Place, concurrency int) {
	e := endpointAt(name, "service", place, concurrency)
	e.Service = service.name
	d.doc.Endpoints = append(d.doc.Endpoints, e)
}

func endpointAt(name, kind string, place Place, concurrency int) endpointDoc {
	return endpointDoc{
		Name: name, Kind: kind, VM: place.VM, FailureDomain: place.FailureDomain, Region: place.Region,
		Address: place.Address, Agent: place.Agent, Concurrency: concurrency, Weight: FullWeight,
	}
}

// Limits restrict an organisation across all entry nodes together; 0 means no
// limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrent        int
}

// Organisation adds an organisation. share is its weight in fair queues, and
// keyHashes are the hashes of its API keys, as returned by HashKey.
func (d *Deployment) Organisation(name string, share int, limits Limits, keyHashes ...string) {
	d.doc.Organisations = append(d.doc.Organisations, organisationDoc{
		Name: name, KeySHA256: keyHashes, Share: share, Limits: limitsDoc(limits),
	})
}

// HashKey returns the hash under which a configuration stores an API key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// DrainVM scales the weight of all endpoints of a VM by percent.
func (d *Deployment) DrainVM(vm string, percent int) {
	d.doc.Weights = append(d.doc.Weights, weightDoc{Scope: "vm", Name: vm, Percent: percent})
}

// DrainFailureDomain scales the weight of all endpoints of a failure domain by
// percent.
func (d *Deployment) DrainFailureDomain(name string, percent int) {
	d.doc.Weights = append(d.doc.Weights, weightDoc{Scope: "failure_domain", Name: name, Percent: percent})
}

// EvacuateFailureDomain takes all endpoints of a failure domain out of use, whatever their
// weights. Requests in flight continue.
func (d *Deployment) EvacuateFailureDomain(name string) {
	d.doc.Evacuated = append(d.doc.Evacuated, name)
}

// Print writes the configuration as YAML.
func (d *Deployment) Print(w io.Writer) error {
	var out bytes.Buffer
	enc := yaml.NewEncoder(&out)
	enc.SetIndent(yamlIndent)
	if err := enc.Encode(&d.doc); err != nil {
		return errors.Wrap(err, "encode the configuration")
	}
	_, err := w.Write(out.Bytes())
	return errors.Wrap(err, "print the configuration")
}
