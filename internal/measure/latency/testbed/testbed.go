// Package testbed runs a small deployment for measurements: stand-ins for the
// platform's services, trivial engines, real agents and a real entry node. The
// parts run in one process or in several, and listen on fixed ports.
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

const (
	// APIKey is the API key of the callers.
	APIKey = "measure-key"
	// Model is the name of the model.
	Model = "model"
)

const (
	// sharedSecret is the secret with which nodes authenticate to each other.
	sharedSecret = "secret-of-the-measurement"
	group        = "group"
	region       = "region"
	host         = "127.0.0.1"
	// startTimeout is how long the entry node may take to get ready. The servers of
	// the testbed also use it as their limit for reading request headers.
	startTimeout = 30 * time.Second
	// readyPollInterval is the time between two checks whether the entry node is
	// ready.
	readyPollInterval = 20 * time.Millisecond
	// vmListLag is the time after which a change of the VMs shows in the VM list.
	vmListLag = 2 * time.Second
	// seedCount is the number of agents that are membership seeds.
	seedCount = 3
)

// Offsets of the ports from the base port. Each engine, and each of an agent's two
// listeners, has the port at its index after portEngines, portAgents or
// portAgentOperators.
const (
	portTable = iota
	portObjectStore
	portVMList
	portCallers
	portEntryPeers
	portEntryOperators
	portEngines        = 100
	portAgents         = 200
	portAgentOperators = 300
)

// Layout describes the size of a testbed and the ports that it uses.
type Layout struct {
	// BasePort is the first of the 400 ports of the testbed.
	BasePort int
	// Engines is the number of engines, at most 100. Each has an agent.
	Engines int
	// Slots is the number of streams that an engine runs at once.
	Slots int
}

func (l Layout) address(offset int) string {
	return net.JoinHostPort(host, strconv.Itoa(l.BasePort+offset))
}

// CallerURL returns the URL at which the entry node serves callers.
func (l Layout) CallerURL() string { return "http://" + l.address(portCallers) }

// EngineURL returns the URL of an engine.
func (l Layout) EngineURL(i int) string { return "http://" + l.address(portEngines+i) }

func (l Layout) platform() settings.Platform {
	return settings.Platform{
		TableURL:       "http://" + l.address(portTable),
		ObjectStoreURL: "http://" + l.address(portObjectStore),
		VMListURL:      "http://" + l.address(portVMList),
	}
}

func (l Layout) seeds() []string {
	var seeds []string
	for i := range min(seedCount, l.Engines) {
		seeds = append(seeds, l.address(portAgents+i))
	}
	return seeds
}

func (l Layout) endpointName(i int) string { return "engine-" + strconv.Itoa(i) }

// deployment returns the configuration of the testbed.
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
			Name: l.endpointName(i), Kind: deployment.KindEngine, Group: group, Rank: i, VM: "vm-" + strconv.Itoa(i),
			Address: l.address(portEngines + i), Agent: l.address(portAgents + i),
			FailureDomain: "domain-" + strconv.Itoa(i%3), Region: region, Concurrency: l.Slots, Weight: 100,
		})
	}
	return d
}

// Testbed holds the parts of a testbed that run in this process.
type Testbed struct {
	layout  Layout
	servers []*http.Server
	agents  []*node.Agent
	entry   *node.Entry
}

// New returns a testbed without any running part.
func New(l Layout) *Testbed { return &Testbed{layout: l} }

// serve serves a handler on the port with the given offset.
func (t *Testbed) serve(offset int, handler http.Handler) error {
	l, err := net.Listen("tcp", t.layout.address(offset))
	if err != nil {
		return errors.Wrap(err, "listen on a port of the testbed")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startTimeout}
	t.servers = append(t.servers, server)
	go func() {
		// Serve returns http.ErrServerClosed after Close.
		_ = server.Serve(l)
	}()
	return nil
}

// StartEngines starts the engines. They take stepTime for a token.
func (t *Testbed) StartEngines(stepTime time.Duration) error {
	for i := range t.layout.Engines {
		if err := t.serve(portEngines+i, NewEngine(stepTime)); err != nil {
			return err
		}
	}
	return nil
}

// StartAgents starts the stand-ins for the platform's services, stores the
// configuration and starts the agents.
func (t *Testbed) StartAgents(ctx context.Context) error {
	for _, p := range []struct {
		offset  int
		handler http.Handler
	}{
		{portTable, tablestandin.New().Handler()},
		{portObjectStore, objectstorestandin.New().Handler()},
		{portVMList, vmliststandin.New(vmListLag).Handler()},
	} {
		if err := t.serve(p.offset, p.handler); err != nil {
			return err
		}
	}
	if err := t.acceptConfig(ctx); err != nil {
		return err
	}
	secret, err := peer.NewSecret(sharedSecret)
	if err != nil {
		return err
	}
	for i := range t.layout.Engines {
		a, err := node.StartAgent(&settings.Agent{
			Endpoint: t.layout.endpointName(i),
			Node:     t.nodeSettings("agent-"+strconv.Itoa(i), "vm-"+strconv.Itoa(i), portAgents+i, portAgentOperators+i),
		}, secret, nil)
		if err != nil {
			return err
		}
		t.agents = append(t.agents, a)
	}
	return nil
}

// nodeSettings returns the settings of a node that listens on the ports with the
// given offsets.
func (t *Testbed) nodeSettings(name, vm string, peers, operators int) settings.Node {
	return settings.Node{
		Name: name, VM: vm, FailureDomain: "domain-0", Region: region,
		PeerAddress: t.layout.address(peers), OperatorAddress: t.layout.address(operators),
		Platform: t.layout.platform(), Seeds: t.layout.seeds(),
	}
}

// acceptConfig validates the configuration and stores it as the first version.
func (t *Testbed) acceptConfig(ctx context.Context) error {
	text, err := t.layout.deployment().Canonical()
	if err != nil {
		return err
	}
	if _, err := deployment.Parse("measure", text); err != nil {
		return err
	}
	p := t.layout.platform()
	registry := rollout.NewRegistry(
		table.NewClient(table.Settings{URL: p.TableURL}, nil), objectstore.NewClient(objectstore.Settings{URL: p.ObjectStoreURL}, nil))
	_, err = registry.Accept(ctx, rollout.Proposal{Body: text, Who: "measure", ID: "1"})
	return errors.Wrap(err, "store the configuration")
}

// StartEntry starts the entry node and waits until it is ready.
func (t *Testbed) StartEntry(ctx context.Context) error {
	secret, err := peer.NewSecret(sharedSecret)
	if err != nil {
		return err
	}
	t.entry, err = node.StartEntry(&settings.Entry{
		Node:          t.nodeSettings("entry-0", "vm-entry-0", portEntryPeers, portEntryOperators),
		CallerAddress: t.layout.address(portCallers), Limits: entry.DefaultLimits(),
	}, secret, nil)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for t.entry.Ready() != "" {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "entry node is not ready: "+t.entry.Ready())
		case <-ticker.C:
		}
	}
	return nil
}

// Close stops all parts that run in this process without draining them.
func (t *Testbed) Close() {
	if t.entry != nil {
		t.entry.Abort()
	}
	for _, a := range t.agents {
		a.Abort()
	}
	for _, server := range t.servers {
		// An error of Close leaves nothing to clean up: the measurement has ended.
		_ = server.Close()
	}
}
