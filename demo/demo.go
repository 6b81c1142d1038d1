// Package demo runs a whole deployment in one process over loopback TCP: the
// platform's stand-ins, eight engines in one rank group over three failure
// domains, a plain service with three workers, the agents and two entry nodes.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/entry"
	"github.com/cyclamenpoint/cyclamenpoint/node"
	"github.com/cyclamenpoint/cyclamenpoint/objectstore"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
	"github.com/cyclamenpoint/cyclamenpoint/rollout"
	"github.com/cyclamenpoint/cyclamenpoint/settings"
	enginestandin "github.com/cyclamenpoint/cyclamenpoint/standin/engine"
	servicestandin "github.com/cyclamenpoint/cyclamenpoint/standin/service"
	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
	vmliststandin "github.com/cyclamenpoint/cyclamenpoint/standin/vmlist"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// Sizes and times of the demo.
const (
	engines        = 8
	workers        = 3
	engineSlots    = 64
	workerSlots    = 32
	serviceTime    = 5 * time.Millisecond
	restartTime    = time.Second
	vmListLag      = 2 * time.Second
	reportLag      = 200 * time.Millisecond
	loadTime       = 20 * time.Millisecond
	windowSteps    = 25
	driftSteps     = 6000
	expertSeed     = 1
	cacheBlocks    = 4096
	prefillBlocks  = 16
	maxTokens      = 10_000
	seedCount      = 3
	startTimeout   = 30 * time.Second
	readyPoll      = 20 * time.Millisecond
	demoKey        = "demo-key"
	demoModel      = "demo"
	demoService    = "desk"
	demoGroup      = "demo-group"
	loopbackAnyOne = "127.0.0.1:0"
)

// Secret is the demo's deployment secret.
const Secret = "demo-secret-of-one-process"

var failureDomains = []string{"demo-a", "demo-b", "demo-c"}

// Demo is a running demo.
type Demo struct {
	opts          Options
	platform      settings.Platform
	table         *tablestandin.Store
	engines       *enginestandin.Group
	service       *servicestandin.Service
	standins      []*http.Server
	agents        []*node.Agent
	vms           *vmliststandin.List
	agentSettings []*settings.Agent
	entrySettings []*settings.Entry
	entries       []*node.Entry
	callers       []string
	sockets       node.Sockets
	config        *deployment.Deployment
	seeds         []string
	operators     []string
}

// Options describe a demo.
type Options struct {
	// Listen is where the first entry node listens for callers, as IP:port;
	// empty takes a free port, as the second entry node does.
	Listen string
	// StepTime is the time that the engines take for a token.
	StepTime time.Duration
	// CrashOn is a text that crashes the engine that runs a prompt with it.
	CrashOn string
}

// DefaultStepTime is the usual time for a token.
const DefaultStepTime = 20 * time.Millisecond

// Start starts the demo.
func Start(opts Options) (*Demo, error) {
	d := &Demo{opts: opts, sockets: make(node.Sockets)}
	if err := d.start(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *Demo) start() error {
	if err := d.startPlatform(); err != nil {
		return err
	}
	deploy := d.deployment()
	if err := d.startEndpoints(deploy); err != nil {
		return err
	}
	if err := d.accept(deploy); err != nil {
		return err
	}
	secret, err := peer.NewSecret(Secret)
	if err != nil {
		return err
	}
	if err := d.startAgents(secret); err != nil {
		return err
	}
	if err := d.startEntries(secret); err != nil {
		return err
	}
	return d.awaitReady()
}

// awaitReady waits until the entry nodes and the agents serve and the rank
// group runs.
func (d *Demo) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !d.ready() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the processes to serve")
		case <-ticker.C:
		}
	}
	return d.awaitSteps(ctx)
}

func (d *Demo) ready() bool {
	for _, e := range d.entries {
		if e.Ready() != "" {
			return false
		}
	}
	for _, a := range d.agents {
		if !a.Ready() {
			return false
		}
	}
	return true
}

// accept hands the configuration over, as an operator does.
func (d *Demo) accept(deploy *deployment.Deployment) error {
	text, err := deploy.Canonical()
	if err != nil {
		return err
	}
	d.config, err = deployment.Parse("demo", text)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	registry := rollout.NewRegistry(
		table.NewClient(table.Settings{URL: d.platform.Table}, nil),
		objectstore.NewClient(objectstore.Settings{URL: d.platform.Objects}, nil))
	_, err = registry.Accept(ctx, rollout.Proposal{Body: text, Who: "demo", ID: "demo"})
	return errors.Wrap(err, "hand over the configuration")
}

func (d *Demo) startAgents(secret peer.Secret) error {
	for _, e := range d.config.Endpoints {
		common, err := d.nodeSettings("agent-"+e.Name, e.VM, e.FailureDomain)
		if err != nil {
			return err
		}
		common.Peers = e.Agent
		own := &settings.Agent{Node: common, Endpoint: e.Name}
		a, err := node.StartAgent(own, secret, d.sockets)
		if err != nil {
			return err
		}
		d.agentSettings = append(d.agentSettings, own)
		d.agents = append(d.agents, a)
	}
	return nil
}

func (d *Demo) nodeSettings(name, vm, failureDomain string) (settings.Node, error) {
	operators, err := d.reserve()
	if err != nil {
		return settings.Node{}, err
	}
	d.operators = append(d.operators, operators)
	return settings.Node{Seeds: d.seeds, Name: name, VM: vm, FailureDomain: failureDomain, Region: "demo", Operators: operators, Platform: d.platform}, nil
}

func (d *Demo) startEntries(secret peer.Secret) error {
	for i, callers := range []string{d.opts.Listen, ""} {
		if callers == "" {
			address, err := d.reserve()
			if err != nil {
				return err
			}
			callers = address
		}
		name := fmt.Sprintf("entry-%d", i)
		common, err := d.nodeSettings(name, "vm-"+name, failureDomains[i])
		if err != nil {
			return err
		}
		common.Peers, err = d.reserve()
		if err != nil {
			return err
		}
		own := &settings.Entry{Node: common, Callers: callers, Limits: entry.DefaultLimits(), DebugVars: true}
		e, err := node.StartEntry(own, secret, d.sockets)
		if err != nil {
			return err
		}
		d.entrySettings = append(d.entrySettings, own)
		d.entries = append(d.entries, e)
		d.callers = append(d.callers, "http://"+callers)
	}
	return nil
}

// OperatorAddresses returns the operators' addresses of the entry nodes.
func (d *Demo) OperatorAddresses() []string { return d.operators[len(d.operators)-len(d.entries):] }

// CallerURLs returns the callers' URLs of the entry nodes.
func (d *Demo) CallerURLs() []string { return d.callers }

// Describe writes how to call the demo.
func (d *Demo) Describe(w io.Writer) error {
	_, err := fmt.Fprintf(w, `Callers' URLs: %s (and %s)

curl -N %[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' \
  -H 'Content-Type: application/json' \
  -d '{"model":"%[4]s","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Hello"}]}'

curl %[1]s/services/%[5]s/reservations -H 'Authorization: Bearer %[3]s' \
  -H 'Idempotency-Key: order-1' -d '{"item":"belt"}'

printf %%s %[6]s >demo.secret
cyclamenpoint status --secret-file demo.secret --node %[7]s --node %[8]s

SIGTERM or Ctrl-C ends the demo once all answers are whole.
`, d.callers[0], d.callers[1], demoKey, demoModel, demoService, Secret, d.OperatorAddresses()[0], d.OperatorAddresses()[1])
	return errors.Wrap(err, "describe the demo")
}

// Stop drains the entry nodes, then the agents, and then ends the stand-ins.
func (d *Demo) Stop(ctx context.Context) error {
	err := stopAll(ctx, d.entries)
	if agentsErr := stopAll(ctx, d.agents); err == nil {
		err = agentsErr
	}
	d.entries = nil
	d.agents = nil
	d.close()
	return err
}

// stopper is a process that can be stopped gracefully.
type stopper interface {
	Stop(ctx context.Context) error
}

// stopAll stops processes side by side and returns the first failure.
func stopAll[S stopper](ctx context.Context, processes []S) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range processes {
		group.Go(func() error { return p.Stop(ctx) })
	}
	return group.Wait()
}

func (d *Demo) close() {
	if d.engines != nil {
		d.engines.Close()
	}
	for _, s := range d.standins {
		// The stand-ins have nothing left to do.
		_ = s.Close()
	}
}
