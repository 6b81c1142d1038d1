// Package demo runs a complete deployment in one process over loopback TCP:
// stand-ins for the platform's services, eight engines in one rank group in three
// failure domains, a plain service with three workers, an agent for each of them
// and two entry nodes.
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

const (
	engineCount          = 8
	workerCount          = 3
	engineSlots          = 64
	workerSlots          = 32
	serviceTime          = 5 * time.Millisecond
	engineRestartTime    = time.Second
	vmListLag            = 2 * time.Second
	reportLag            = 200 * time.Millisecond
	expertLoadTime       = 20 * time.Millisecond
	expertWindowSteps    = 25
	demandPeriodSteps    = 6000
	demandSeed           = 1
	cacheBlocks          = 4096
	prefillBlocksPerStep = 16
	maxTokens            = 10_000
	gossipSeedCount      = 3
	startTimeout         = 30 * time.Second
	pollInterval         = 20 * time.Millisecond
	demoAPIKey           = "demo-key"
	demoModel            = "demo"
	demoService          = "desk"
	demoGroup            = "demo-group"
	anyLoopbackPort      = "127.0.0.1:0"
)

// Secret is the demo's deployment secret.
const Secret = "demo-secret-of-one-process"

var failureDomains = []string{"demo-a", "demo-b", "demo-c"}

// Demo is a running demo.
type Demo struct {
	opts           Options
	platform       settings.Platform
	table          *tablestandin.Store
	engines        *enginestandin.Group
	service        *servicestandin.Service
	standinServers []*http.Server
	agents         []*node.Agent
	vms            *vmliststandin.List
	agentSettings  []*settings.Agent
	entrySettings  []*settings.Entry
	entries        []*node.Entry
	callerURLs     []string
	// sockets are the reserved listening sockets, by address.
	sockets node.Sockets
	config  *deployment.Deployment
	seeds   []string
	// operators are the operator API addresses of the agents, then of the entry
	// nodes.
	operators []string
}

// Options describe a demo.
type Options struct {
	// Listen is the address on which the first entry node listens for callers, as
	// IP:port. If empty, a free port is used, as for the second entry node.
	Listen string
	// StepTime is the time in which an engine computes one token.
	StepTime time.Duration
	// CrashOn is a text that crashes an engine when it runs a prompt containing
	// it. If empty, no prompt crashes an engine.
	CrashOn string
}

// DefaultStepTime is the step time of the demo command.
const DefaultStepTime = 20 * time.Millisecond

// Start starts a demo and waits until it serves requests.
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
	if err := d.publishConfig(deploy); err != nil {
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

// awaitReady waits until the entry nodes and the agents are ready and the rank
// group runs steps.
func (d *Demo) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !d.ready() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the processes to become ready")
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

// publishConfig stores deploy as the first accepted configuration. It writes to the
// platform's services directly, because no node is running yet.
func (d *Demo) publishConfig(deploy *deployment.Deployment) error {
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
		table.NewClient(table.Settings{URL: d.platform.TableURL}, nil),
		objectstore.NewClient(objectstore.Settings{URL: d.platform.ObjectStoreURL}, nil))
	_, err = registry.Accept(ctx, rollout.Proposal{Body: text, Who: "demo", ID: "demo"})
	return errors.Wrap(err, "publish the configuration")
}

func (d *Demo) startAgents(secret peer.Secret) error {
	for _, e := range d.config.Endpoints {
		common, err := d.nodeSettings("agent-"+e.Name, e.VM, e.FailureDomain)
		if err != nil {
			return err
		}
		common.PeerAddress = e.Agent
		agentSettings := &settings.Agent{Node: common, Endpoint: e.Name}
		a, err := node.StartAgent(agentSettings, secret, d.sockets)
		if err != nil {
			return err
		}
		d.agentSettings = append(d.agentSettings, agentSettings)
		d.agents = append(d.agents, a)
	}
	return nil
}

// nodeSettings returns the settings that agents and entry nodes have in common.
func (d *Demo) nodeSettings(name, vm, failureDomain string) (settings.Node, error) {
	operatorAddress, err := d.reservePort()
	if err != nil {
		return settings.Node{}, err
	}
	d.operators = append(d.operators, operatorAddress)
	return settings.Node{Seeds: d.seeds, Name: name, VM: vm, FailureDomain: failureDomain, Region: "demo", OperatorAddress: operatorAddress, Platform: d.platform}, nil
}

func (d *Demo) startEntries(secret peer.Secret) error {
	for i, callerAddress := range []string{d.opts.Listen, ""} {
		if callerAddress == "" {
			address, err := d.reservePort()
			if err != nil {
				return err
			}
			callerAddress = address
		}
		name := fmt.Sprintf("entry-%d", i)
		common, err := d.nodeSettings(name, "vm-"+name, failureDomains[i])
		if err != nil {
			return err
		}
		common.PeerAddress, err = d.reservePort()
		if err != nil {
			return err
		}
		entrySettings := &settings.Entry{Node: common, CallerAddress: callerAddress, Limits: entry.DefaultLimits(), DebugVars: true}
		e, err := node.StartEntry(entrySettings, secret, d.sockets)
		if err != nil {
			return err
		}
		d.entrySettings = append(d.entrySettings, entrySettings)
		d.entries = append(d.entries, e)
		d.callerURLs = append(d.callerURLs, "http://"+callerAddress)
	}
	return nil
}

// OperatorAddresses returns the addresses at which the entry nodes serve the
// operator API.
func (d *Demo) OperatorAddresses() []string { return d.operators[len(d.operators)-len(d.entries):] }

// CallerURLs returns the base URLs at which the entry nodes serve callers.
func (d *Demo) CallerURLs() []string { return d.callerURLs }

// Describe writes example commands for calling the demo.
func (d *Demo) Describe(w io.Writer) error {
	_, err := fmt.Fprintf(w, `Callers' URLs: %s (and %s)

curl -N %[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' \
  -H 'Content-Type: application/json' \
  -d '{"model":"%[4]s","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Hello"}]}'

curl %[1]s/services/%[5]s/reservations -H 'Authorization: Bearer %[3]s' \
  -H 'Idempotency-Key: order-1' -d '{"item":"belt"}'

printf %%s %[6]s >demo.secret
cyclamenpoint status --secret-file demo.secret --node %[7]s --node %[8]s

SIGTERM or Ctrl-C ends the demo once all answers are complete.
`, d.callerURLs[0], d.callerURLs[1], demoAPIKey, demoModel, demoService, Secret, d.OperatorAddresses()[0], d.OperatorAddresses()[1])
	return errors.Wrap(err, "describe the demo")
}

// Stop drains and stops the entry nodes, then the agents, and then closes the
// stand-ins.
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

// stopAll stops processes concurrently and returns the first error.
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
	for _, s := range d.standinServers {
		// Errors of closing the stand-ins do not matter any more.
		_ = s.Close()
	}
}
