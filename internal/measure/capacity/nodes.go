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
	fleetRanksPerGroup = 16
	// agentSettleTime is the time from the start of the agents until they are
	// measured.
	agentSettleTime = 10 * time.Second
	// idleMeasureTime is how long the agents are measured without changes, and
	// changeMeasureTime how long they are measured after a change of the
	// configuration.
	idleMeasureTime   = 5 * time.Second
	changeMeasureTime = 6 * time.Second
	// vmListLag is the time after which a change of the VMs shows in the VM list.
	vmListLag = 2 * time.Second
)

// fleet is a deployment of real agents that run in this process and communicate
// over loopback TCP.
type fleet struct {
	platform settings.Platform
	table    *tablestandin.Store
	servers  []*http.Server
	sockets  node.Sockets
	counter  *counter
	config   *deployment.Deployment
	agents   []*node.Agent
}

// measureNodes measures real agents while nothing changes and during a change
// of the configuration.
func measureNodes(ctx context.Context, o *options) ([]*series, error) {
	cores := &series{name: "agent-cpu", x: "real agents", y: "percent of a core", designSize: processes, limit: limitCorePercent}
	bytes := &series{name: "agent-bytes", x: "real agents", y: "bytes a second, both ways", designSize: processes, limit: limitBytesPerSecond}
	heap := &series{name: "agent-memory", x: "real agents", y: "KB", designSize: processes, limit: limitHeapKB}
	conns := &series{name: "agent-connections", x: "real agents", y: "open connections of a node, both kinds", designSize: processes}
	reads := &series{name: "agent-table-reads", x: "real agents", y: "table reads a second of all together", designSize: processes}
	changeBytes := &series{name: "agent-change-bytes", x: "real agents", y: "KB for each node and change", designSize: processes}
	changeCores := &series{name: "agent-change-cpu", x: "real agents", y: "core milliseconds for each node and change", designSize: processes}
	// After a change nearly every pair of agents has open connections, so the limit
	// on open files bounds the size.
	sizes := []int{16, 32, 64}
	if o.Large {
		sizes = []int{16, 32, 64, 80}
	}
	for _, size := range sizes {
		memoryBefore := liveMemory()
		f := &fleet{sockets: make(node.Sockets), counter: &counter{}}
		if err := f.start(ctx, size); err != nil {
			return nil, err
		}
		sleep(ctx, agentSettleTime)
		n, readsBefore := float64(size), f.table.Counts().Reads
		idle := f.measureCost(size, func() error { sleep(ctx, idleMeasureTime); return nil })
		conns.add(n, 2*float64(f.counter.open.Load())/n)
		reads.add(n, float64(f.table.Counts().Reads-readsBefore)/idleMeasureTime.Seconds())
		cores.add(n, idle.corePercent)
		bytes.add(n, idle.bytes)
		heap.add(n, (liveMemory()-memoryBefore)/n/1024)
		changing := f.measureCost(size, func() error {
			err := f.acceptConfig(ctx, 1)
			sleep(ctx, changeMeasureTime)
			return err
		})
		if changing.err != nil {
			return nil, changing.err
		}
		changeBytes.add(n, (changing.bytes-idle.bytes)*changing.seconds/1024)
		changeCores.add(n, (changing.corePercent-idle.corePercent)*changing.seconds*10)
		f.stop()
	}
	return []*series{cores, bytes, heap, conns, reads, changeBytes, changeCores}, nil
}

// nodeCost is the mean cost of one node per second.
type nodeCost struct {
	corePercent, bytes float64
	// seconds is the time over which the cost was measured.
	seconds float64
	err     error
}

// measureCost returns the mean cost of one of size nodes while work runs.
func (f *fleet) measureCost(size int, work func() error) nodeCost {
	bytesBefore, usedBefore, start := f.counter.bytes.Load(), processorTime(), time.Now()
	err := work()
	seconds := time.Since(start).Seconds()
	nodeSeconds := seconds * float64(size)
	return nodeCost{
		corePercent: 100 * (processorTime() - usedBefore).Seconds() / nodeSeconds,
		// The listeners count the bytes of a connection at one of its two ends.
		bytes:   2 * float64(f.counter.bytes.Load()-bytesBefore) / nodeSeconds,
		seconds: seconds, err: err,
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
	if err := f.acceptConfig(ctx, 0); err != nil {
		return err
	}
	return f.startAgents()
}

// healthy answers every request of an agent like a healthy endpoint without load or
// events.
func healthy(w http.ResponseWriter, _ *http.Request) {
	// An error means that the connection has failed, which the agent sees as well.
	_, _ = w.Write([]byte("[]"))
}

// serve serves a handler on a free port and returns its address.
func (f *fleet) serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in or an endpoint")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	f.servers = append(f.servers, server)
	go func() {
		// Serve returns http.ErrServerClosed after stop.
		_ = server.Serve(l)
	}()
	return l.Addr().String(), nil
}

// listen opens a counted listener for an agent on a free port and returns its
// address.
func (f *fleet) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for an agent")
	}
	address := l.Addr().String()
	f.sockets[address] = countedListener{Listener: l, counter: f.counter}
	return address, nil
}

// deploy starts size endpoints, opens the listeners of their agents and builds the
// configuration for both.
func (f *fleet) deploy(size int) error {
	f.config = engineDeployment(size)
	f.config.Name = "capacity"
	f.config.Models[0].Repeat = deployment.RepeatAlways
	f.config.Groups = nil
	f.config.Organisations = []deployment.Organisation{{Name: "o", KeySHA256: []string{rollout.HashOf([]byte("key"))}, Share: 1}}
	for i := range f.config.Endpoints {
		e := &f.config.Endpoints[i]
		e.Group, e.Rank = "group-"+strconv.Itoa(i/fleetRanksPerGroup), i%fleetRanksPerGroup
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
		if e.Agent, err = f.listen(); err != nil {
			return err
		}
	}
	return nil
}

// acceptConfig stores the version of the configuration that follows version
// basedOn. Versions differ in the weight of the first endpoint.
func (f *fleet) acceptConfig(ctx context.Context, basedOn uint64) error {
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

// startAgents starts an agent for each endpoint.
func (f *fleet) startAgents() error {
	secret, err := peer.NewSecret(sharedSecret)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(seedCount, len(f.config.Endpoints)) {
		seeds = append(seeds, f.config.Endpoints[i].Agent)
	}
	for _, e := range f.config.Endpoints {
		operators, err := f.listen()
		if err != nil {
			return err
		}
		a, err := node.StartAgent(&settings.Agent{Endpoint: e.Name, Node: settings.Node{
			Name: "agent-" + e.Name, VM: e.VM, FailureDomain: e.FailureDomain, Region: e.Region,
			PeerAddress: e.Agent, OperatorAddress: operators, Platform: f.platform, Seeds: seeds,
		}}, secret, f.sockets)
		if err != nil {
			return err
		}
		f.agents = append(f.agents, a)
	}
	return nil
}

// stop stops the agents, the endpoints and the stand-ins.
func (f *fleet) stop() {
	for _, a := range f.agents {
		a.Abort()
	}
	for _, s := range f.servers {
		// An error of Close leaves nothing to clean up: the measurement has ended.
		_ = s.Close()
	}
}
