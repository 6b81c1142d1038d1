// Package operator builds a deployment's configuration from typed values and
// prints it as YAML. A program of a few lines is the configuration's source:
// operators review what it prints, check it, and hand it over.
//
// References between parts are Go values, so that a group cannot name a model
// that does not exist. All other rules are checked by the system itself; the
// library imports nothing of the servers.
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

// FullWeight is the weight of an endpoint that takes its full share.
const FullWeight = 100

// Deployment collects the parts of one configuration. It is not safe for use
// by many goroutines.
type Deployment struct {
	doc document
}

// New begins a deployment.
func New(name string) *Deployment {
	return &Deployment{doc: document{Name: name}}
}

// Repeat says which requests may be repeated.
type Repeat string

// The repeat rules.
const (
	// Always allows any number of runs.
	Always Repeat = "always"
	// UnlessRun allows another run only on proof that none happened.
	UnlessRun Repeat = "unless-run"
	// Never allows one run at most; callers send an idempotency key.
	Never Repeat = "never"
)

// Model is a model of the deployment.
type Model struct {
	name string
}

// Model adds a model. maxTokens bounds the tokens of one answer.
func (d *Deployment) Model(name string, maxTokens int, repeat Repeat) Model {
	d.doc.Models = append(d.doc.Models, modelDoc{Name: name, MaxTokens: maxTokens, Repeat: repeat})
	return Model{name: name}
}

// Shape is the size of a rank group's model.
type Shape struct {
	// Layers is the number of layers that have experts.
	Layers int
	// Experts is the number of experts of a layer.
	Experts int
	// Slots is the number of experts that one rank holds for each layer.
	Slots int
	// ExpertBytes is the size of one expert's weights, in bytes.
	ExpertBytes int64
}

// Objective weighs step-time skew against rebalancing cost.
type Objective struct {
	Skew float64
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

// Place tells where an endpoint and the agent beside it stand.
type Place struct {
	VM            string
	FailureDomain string
	Region        string
	// Address is the endpoint's own address and Agent its agent's, as IP:port.
	Address string
	Agent   string
}

// EngineOptions describe a model engine.
type EngineOptions struct {
	// Rank is the engine's rank in its group, from 0.
	Rank int
	// Concurrency is how many requests the engine runs at once.
	Concurrency int
	// ChecksFencing and ChecksOrderer say what the engine checks of an order.
	ChecksFencing bool
	ChecksOrderer bool
	// Resumes says whether the engine resumes a stream at a given token.
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

// Route is one call of a plain service.
type Route struct {
	Method string
	Path   string
	Repeat Repeat
	// KeepAnswerSeconds is how long the answer of a route that never repeats is
	// kept; 0 takes the system's default.
	KeepAnswerSeconds int
}

// Service is a plain service of the deployment.
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

// Limits bound an organisation over all entry nodes; 0 means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrent        int
}

// Organisation adds an organisation. share is its weight in fair queues;
// keyHashes come from HashKey.
func (d *Deployment) Organisation(name string, share int, limits Limits, keyHashes ...string) {
	d.doc.Organisations = append(d.doc.Organisations, organisationDoc{
		Name: name, KeySHA256: keyHashes, Share: share, Limits: limitsDoc(limits),
	})
}

// HashKey returns the form in which a configuration holds an API key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// DrainVM gives all endpoints of a VM percent of their weight.
func (d *Deployment) DrainVM(vm string, percent int) {
	d.doc.Weights = append(d.doc.Weights, weightDoc{Scope: "vm", Name: vm, Percent: percent})
}

// DrainFailureDomain gives all endpoints of a failure domain percent of their
// weight.
func (d *Deployment) DrainFailureDomain(name string, percent int) {
	d.doc.Weights = append(d.doc.Weights, weightDoc{Scope: "failure_domain", Name: name, Percent: percent})
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
