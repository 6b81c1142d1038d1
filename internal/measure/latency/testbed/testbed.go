// Package testbed puts a small deployment together for measurements: the
// platform's stand-ins, trivial engines, real agents and a real entry node, in
// one process or in several that listen at known ports.
package testbed

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/entry"
	"github.com/cyclamenpoint/cyclamenpoint/node"
	"github.com/cyclamenpoint/cyclamenpoint/objectstore"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
	"github.com/cyclamenpoint/cyclamenpoint/rollout"
	"github.com/cyclamenpoint/cyclamenpoint/settings"
	objectstorestandin "github.com/cyclamenpoint/cyclamenpoint/standin/objectstore"
	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
	vmliststandin "github.com/cyclamenpoint/cyclamenpoint/standin/vmlist"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// APIKey and Model are what callers of the site send.
const (
	APIKey = "measure-key"
	Model  = "model"
)

const (
	secretText   = "secret-of-the-measurement"
	group        = "group"
	region       = "region"
	host         = "127.0.0.1"
	startTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
	vmListLag    = 2 * time.Second
	seedCount    = 3
)

// Offsets from the base port.
const (
	portTable = iota
	portObjects
	portVMs
	portCallers
	portEntryPeers
	portEntryOperators
	portEngines = 100
	portAgents  = 200
	portAgentOp = 300
)

// Layout says where the parts of a site listen.
type Layout struct {
	// BasePort is the first of 400 ports.
	BasePort int
	// Engines is the number of engines, each with an agent.
	Engines int
	// Slots is how many streams an engine runs at once.
	Slots int
}

func (l Layout) address(offset int) string {
	return net.JoinHostPort(host, strconv.Itoa(l.BasePort+offset))
}

// CallerURL returns the URL for callers of the entry node.
func (l Layout) CallerURL() string { return "http://" + l.address(portCallers) }

// EngineURL returns the URL of an engine.
func (l Layout) EngineURL(i int) string { return "http://" + l.address(portEngines+i) }

func (l Layout) platform() settings.Platform {
	return settings.Platform{
		Table:   "http://" + l.address(portTable),
		Objects: "http://" + l.address(portObjects),
		VMs:     "http://" + l.address(portVMs),
	}
}

func (l Layout) seeds() []string {
	var seeds []string
	for i := range min(seedCount, l.Engines) {
		seeds = append(seeds, l.address(portAgents+i))
	}
	return seeds
}

func (l Layout) endpoint(i int) string { return "engine-" + strconv.Itoa(i) }

// deployment returns the configuration of the site.
func (l Layout) deployment() *deployment.Deployment {
	d := &deployment.Deployment{
		Name:   "measure",
		Models: []deployment.Model{{Name: Model, MaxTokens: 100_000, Repeat: deployment.RepeatAlways}},
		Groups: []deployment.Group{{
			Name: group, Model: Model, Layers: 4, Experts: 16, Slots: 16, ExpertBytes: 1 << 20,
			Objective: deployment.Objective{Skew: 1, Move: 1},
		}},
		Organisations: []deployment.Organisation{{Name: "o", KeySHA256: []string{rollout.HashOf([]byte(APIKey))}, Share: 1}},
	}
	for i := range l.Engines {
		d.Endpoints = append(d.Endpoints, deployment.Endpoint{
			Name: l.endpoint(i), Kind: deployment.KindEngine, Group: group, Rank: i, VM: "vm-" + strconv.Itoa(i),
			Address: l.address(portEngines + i), Agent: l.address(portAgents + i),
			FailureDomain: "domain-" + strconv.Itoa(i%3), Region: region, Concurrency: l.Slots, Weight: 100,
		})
	}
	return d
}

// Testbed holds the parts of a site that run in this process.
type Testbed struct {
	layout  Layout
	servers []*http.Server
	agents  []*node.Agent
	entry   *node.Entry
}

// New returns a site of which nothing runs.
func New(l Layout) *Testbed { return &Testbed{layout: l} }

func (s *Testbed) serve(offset int, handler http.Handler) error {
	l, err := net.Listen("tcp", s.layout.address(offset))
	if err != nil {
		return errors.Wrap(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startTimeout}
	s.servers = append(s.servers, server)
	go func() {
		// Serve returns when Close closes the server.
		_ = server.Serve(l)
	}()
	return nil
}

// StartEngines starts the engines, which take step for a token.
func (s *Testbed) StartEngines(step time.Duration) error {
	for i := range s.layout.Engines {
		if err := s.serve(portEngines+i, NewEngine(step)); err != nil {
			return err
		}
	}
	return nil
}

// StartAgents starts the platform's stand-ins, hands the configuration over and
// starts the agents.
func (s *Testbed) StartAgents(ctx context.Context) error {
	for _, p := range []struct {
		offset  int
		handler http.Handler
	}{
		{portTable, tablestandin.New().Handler()},
		{portObjects, objectstorestandin.New().Handler()},
		{portVMs, vmliststandin.New(vmListLag).Handler()},
	} {
		if err := s.serve(p.offset, p.handler); err != nil {
			return err
		}
	}
	if err := s.accept(ctx); err != nil {
		return err
	}
	secret, err := peer.NewSecret(secretText)
	if err != nil {
		return err
	}
	for i := range s.layout.Engines {
		a, err := node.StartAgent(&settings.Agent{
			Endpoint: s.layout.endpoint(i),
			Node:     s.node("agent-"+strconv.Itoa(i), "vm-"+strconv.Itoa(i), portAgents+i, portAgentOp+i),
		}, secret, nil)
		if err != nil {
			return err
		}
		s.agents = append(s.agents, a)
	}
	return nil
}

func (s *Testbed) node(name, vm string, peers, operators int) settings.Node {
	return settings.Node{
		Name: name, VM: vm, FailureDomain: "domain-0", Region: region,
		Peers: s.layout.address(peers), Operators: s.layout.address(operators),
		Platform: s.layout.platform(), Seeds: s.layout.seeds(),
	}
}

func (s *Testbed) accept(ctx context.Context) error {
	text, err := s.layout.deployment().Canonical()
	if err != nil {
		return err
	}
	if _, err := deployment.Parse("measure", text); err != nil {
		return err
	}
	p := s.layout.platform()
	registry := rollout.NewRegistry(
		table.NewClient(table.Settings{URL: p.Table}, nil), objectstore.NewClient(objectstore.Settings{URL: p.Objects}, nil))
	_, err = registry.Accept(ctx, rollout.Proposal{Body: text, Who: "measure", ID: "1"})
	return errors.Wrap(err, "hand over the configuration")
}

// StartEntry starts the entry node and waits until it may serve.
func (s *Testbed) StartEntry(ctx context.Context) error {
	secret, err := peer.NewSecret(secretText)
	if err != nil {
		return err
	}
	s.entry, err = node.StartEntry(&settings.Entry{
		Node:    s.node("entry-0", "vm-entry-0", portEntryPeers, portEntryOperators),
		Callers: s.layout.address(portCallers), Limits: entry.DefaultLimits(),
	}, secret, nil)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for s.entry.Ready() != "" {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the entry node: "+s.entry.Ready())
		case <-ticker.C:
		}
	}
	return nil
}

// Close ends what runs here at once.
func (s *Testbed) Close() {
	if s.entry != nil {
		s.entry.Abort()
	}
	for _, a := range s.agents {
		a.Abort()
	}
	for _, server := range s.servers {
		// The stand-ins have nothing left to do.
		_ = server.Close()
	}
}
