package main

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
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
	ranksByGroup = 16
	nodesStart   = 10 * time.Second
	nodesRest    = 5 * time.Second
	nodesChange  = 6 * time.Second
	vmListLag    = 2 * time.Second
)

// fleet is a deployment of real agents in this process, over loopback TCP.
type fleet struct {
	platform settings.Platform
	table    *tablestandin.Store
	standins []*http.Server
	sockets  node.Sockets
	counter  *counter
	config   *deployment.Deployment
	agents   []*node.Agent
}

// measureNodes measures real agents: in rest and over a change.
func measureNodes(ctx context.Context, o *options) ([]*series, error) {
	cores := &series{name: "agent-cpu", x: "real agents", y: "percent of a core", at: processes, limit: limitCorePercent}
	bytes := &series{name: "agent-bytes", x: "real agents", y: "bytes a second, both ways", at: processes, limit: limitBytes}
	heap := &series{name: "agent-memory", x: "real agents", y: "KB", at: processes, limit: limitHeapKB}
	conns := &series{name: "agent-connections", x: "real agents", y: "open connections of a node, both kinds", at: processes}
	reads := &series{name: "agent-table-reads", x: "real agents", y: "table reads a second of all together", at: processes}
	change := &series{name: "agent-change-bytes", x: "real agents", y: "KB for each node and change", at: processes}
	changeCores := &series{name: "agent-change-cpu", x: "real agents", y: "core milliseconds for each node and change", at: processes}
	// Nearly all pairs hold connections after a change, so that the limit of open
	// files bounds the size.
	sizes := []int{16, 32, 64}
	if o.Large {
		sizes = []int{16, 32, 64, 80}
	}
	for _, size := range sizes {
		before := memory()
		f := &fleet{sockets: make(node.Sockets), counter: &counter{}}
		if err := f.start(ctx, size); err != nil {
			return nil, err
		}
		pause(ctx, nodesStart)
		n, readsBefore := float64(size), f.table.Counts().Reads
		rest := f.spend(size, func() error { pause(ctx, nodesRest); return nil })
		conns.add(n, 2*float64(f.counter.open.Load())/n)
		reads.add(n, float64(f.table.Counts().Reads-readsBefore)/nodesRest.Seconds())
		cores.add(n, rest.cores)
		bytes.add(n, rest.bytes)
		heap.add(n, (memory()-before)/n/1024)
		changed := f.spend(size, func() error {
			err := f.accept(ctx, 1)
			pause(ctx, nodesChange)
			return err
		})
		if changed.failed != nil {
			return nil, changed.failed
		}
		change.add(n, (changed.bytes-rest.bytes)*changed.seconds/1024)
		changeCores.add(n, (changed.cores-rest.cores)*changed.seconds*10)
		f.stop()
	}
	return []*series{cores, bytes, heap, conns, reads, change, changeCores}, nil
}

// nodeSpending is what one node spends a second.
type nodeSpending struct {
	cores, bytes, seconds float64
	failed                error
}

func (f *fleet) spend(size int, work func() error) nodeSpending {
	bytes, used, start := f.counter.bytes.Load(), cpu(), time.Now()
	err := work()
	seconds := time.Since(start).Seconds()
	per := seconds * float64(size)
	return nodeSpending{
		cores: 100 * (cpu() - used).Seconds() / per,
		// The listeners count each connection once; it has two ends.
		bytes:   2 * float64(f.counter.bytes.Load()-bytes) / per,
		seconds: seconds, failed: err,
	}
}

// start starts the stand-ins and size agents.
func (f *fleet) start(ctx context.Context, size int) error {
	f.table = tablestandin.New()
	for _, s := range []struct {
		url     *string
		handler http.Handler
	}{
		{&f.platform.TableURL, f.table.Handler()},
		{&f.platform.ObjectStoreURL, objectstorestandin.New().Handler()},
		{&f.platform.VMListURL, vmliststandin.New(vmListLag).Handler()},
	} {
		address, err := f.serve(s.handler)
		if err != nil {
			return err
		}
		*s.url = "http://" + address
	}
	if err := f.deploy(size); err != nil {
		return err
	}
	if err := f.accept(ctx, 0); err != nil {
		return err
	}
	return f.startAgents()
}

// healthy answers as an endpoint that has nothing to say.
func healthy(w http.ResponseWriter, _ *http.Request) {
	// A broken connection is the agent's matter.
	_, _ = w.Write([]byte("[]"))
}

// serve serves a handler at a free port.
func (f *fleet) serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	f.standins = append(f.standins, server)
	go func() {
		// Serve returns when stop closes the server.
		_ = server.Serve(l)
	}()
	return l.Addr().String(), nil
}

// reserve opens a counted socket for an agent.
func (f *fleet) reserve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for an agent")
	}
	address := l.Addr().String()
	f.sockets[address] = countedListener{Listener: l, counter: f.counter}
	return address, nil
}

func (f *fleet) deploy(size int) error {
	f.config = engines(size)
	f.config.Name = "capacity"
	f.config.Models[0].Repeat = deployment.RepeatAlways
	f.config.Groups = nil
	f.config.Organisations = []deployment.Organisation{{Name: "o", KeySHA256: []string{rollout.HashOf([]byte("key"))}, Share: 1}}
	for i := range f.config.Endpoints {
		e := &f.config.Endpoints[i]
		e.Group, e.Rank = "group-"+strconv.Itoa(i/ranksByGroup), i%ranksByGroup
		if e.Rank == 0 {
			f.config.Groups = append(f.config.Groups, deployment.Group{
				Name: e.Group, Model: "model", Layers: 4, Experts: 32, Slots: 4, ExpertBytes: expertBytes,
				Objective: deployment.Objective{Skew: 1, Move: 1},
			})
		}
		var err error
		if e.Address, err = f.serve(http.HandlerFunc(healthy)); err != nil {
			return err
		}
		if e.Agent, err = f.reserve(); err != nil {
			return err
		}
	}
	return nil
}

// accept hands over the configuration; the weight of the first endpoint tells
// versions apart.
func (f *fleet) accept(ctx context.Context, basedOn uint64) error {
	f.config.Endpoints[0].Weight = 100 - int(basedOn)
	text, err := f.config.Canonical()
	if err != nil {
		return err
	}
	registry := rollout.NewRegistry(
		table.NewClient(table.Settings{URL: f.platform.TableURL}, nil),
		objectstore.NewClient(objectstore.Settings{URL: f.platform.ObjectStoreURL}, nil))
	_, err = registry.Accept(ctx, rollout.Proposal{BasedOn: basedOn, Body: text, Who: "o", ID: strconv.FormatUint(basedOn, 10)})
	return err
}

func (f *fleet) startAgents() error {
	secret, err := peer.NewSecret(secretOfMeasure)
	if err != nil {
		return err
	}
	var known []string
	for i := range min(seeds, len(f.config.Endpoints)) {
		known = append(known, f.config.Endpoints[i].Agent)
	}
	for _, e := range f.config.Endpoints {
		operators, err := f.reserve()
		if err != nil {
			return err
		}
		a, err := node.StartAgent(&settings.Agent{Endpoint: e.Name, Node: settings.Node{
			Name: "agent-" + e.Name, VM: e.VM, FailureDomain: e.FailureDomain, Region: e.Region,
			PeerAddress: e.Agent, OperatorAddress: operators, Platform: f.platform, Seeds: known,
		}}, secret, f.sockets)
		if err != nil {
			return err
		}
		f.agents = append(f.agents, a)
	}
	return nil
}

func (f *fleet) stop() {
	for _, a := range f.agents {
		a.Abort()
	}
	for _, s := range f.standins {
		// The stand-ins have nothing left to do.
		_ = s.Close()
	}
}
