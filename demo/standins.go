package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/node"
	enginestandin "github.com/cyclamenpoint/cyclamenpoint/standin/engine"
	objectstorestandin "github.com/cyclamenpoint/cyclamenpoint/standin/objectstore"
	servicestandin "github.com/cyclamenpoint/cyclamenpoint/standin/service"
	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
	vmliststandin "github.com/cyclamenpoint/cyclamenpoint/standin/vmlist"
)

// startPlatform starts the stand-ins for the platform's services.
func (d *Demo) startPlatform() error {
	d.table = tablestandin.New()
	d.vms = vmliststandin.New(vmListLag)
	for _, s := range []struct {
		url     *string
		handler http.Handler
	}{
		{&d.platform.TableURL, d.table.Handler()},
		{&d.platform.ObjectStoreURL, objectstorestandin.New().Handler()},
		{&d.platform.VMListURL, d.vms.Handler()},
	} {
		address, err := d.serve(s.handler)
		if err != nil {
			return err
		}
		*s.url = "http://" + address
	}
	return nil
}

// deployment returns the demo's configuration without its endpoints.
func (d *Demo) deployment() *deployment.Deployment {
	hash := sha256.Sum256([]byte(demoAPIKey))
	return &deployment.Deployment{
		Name:   "demo",
		Models: []deployment.Model{{Name: demoModel, MaxTokens: maxTokens, Repeat: deployment.RepeatAlways}},
		Groups: []deployment.Group{{
			Name: demoGroup, Model: demoModel, Layers: 4, Experts: 32, Slots: 6, ExpertBytes: 44 << 20,
			Objective: deployment.Objective{Skew: 1, Move: 1},
		}},
		Services: []deployment.Service{{Name: demoService, Routes: []deployment.Route{
			{Method: http.MethodPost, Path: "/reservations", Repeat: deployment.RepeatNever},
			{Method: http.MethodGet, Path: "/stock", Repeat: deployment.RepeatAlways},
		}}},
		Organisations: []deployment.Organisation{{Name: "demo", KeySHA256: []string{hex.EncodeToString(hash[:])}, Share: 1}},
	}
}

// startEndpoints starts the engines and workers and adds them to deploy.
func (d *Demo) startEndpoints(deploy *deployment.Deployment) error {
	group := deploy.Groups[0]
	d.engines = enginestandin.NewGroup(enginestandin.Options{
		Shape:    expertmap.Shape{Layers: group.Layers, Experts: group.Experts, Ranks: engineCount, Slots: group.Slots},
		LoadTime: expertLoadTime, WindowSteps: expertWindowSteps, DriftSteps: demandPeriodSteps, Seed: demandSeed,
		Model: demoModel, Ranks: engineCount, StepTime: d.opts.StepTime, Slots: engineSlots, PrefillPerStep: prefillBlocksPerStep,
		CacheBlocks: cacheBlocks, ReportLag: reportLag, RestartTime: engineRestartTime, CrashOn: d.opts.CrashOn,
	})
	for rank := range engineCount {
		e := endpoint(rank, "engine", deployment.KindEngine, engineSlots)
		e.Group = demoGroup
		e.Rank = rank
		e.Resumes = true
		if err := d.addEndpoint(deploy, e, d.engines.Rank(rank).Handler()); err != nil {
			return err
		}
	}
	d.service = servicestandin.New(serviceTime)
	for i := range workerCount {
		e := endpoint(i, demoService, deployment.KindService, workerSlots)
		e.Service = demoService
		if err := d.addEndpoint(deploy, e, d.service.Handler()); err != nil {
			return err
		}
	}
	return nil
}

func endpoint(i int, prefix string, kind deployment.Kind, slots int) deployment.Endpoint {
	name := fmt.Sprintf("%s-%d", prefix, i)
	return deployment.Endpoint{
		Name: name, Kind: kind, VM: "vm-" + name, FailureDomain: failureDomains[i%len(failureDomains)],
		Region: "demo", Concurrency: slots, Weight: 100,
	}
}

// addEndpoint adds an endpoint to deploy. It serves handler on a free port and
// reserves another port for the endpoint's agent.
func (d *Demo) addEndpoint(deploy *deployment.Deployment, e deployment.Endpoint, handler http.Handler) error {
	address, err := d.serve(handler)
	if err != nil {
		return err
	}
	e.Address = address
	e.Agent, err = d.reservePort()
	if err != nil {
		return err
	}
	deploy.Endpoints = append(deploy.Endpoints, e)
	if len(d.seeds) < gossipSeedCount {
		d.seeds = append(d.seeds, e.Agent)
	}
	return nil
}

// serve serves a stand-in on a free port and returns its address.
func (d *Demo) serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return "", &node.ListenError{Name: "a stand-in", Address: anyLoopbackPort, Cause: err}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	d.standinServers = append(d.standinServers, server)
	go func() {
		// Serve returns when Demo.close closes the server.
		_ = server.Serve(l)
	}()
	return l.Addr().String(), nil
}

// reservePort opens a listening socket on a free port, for a process that starts
// later, and returns its address.
func (d *Demo) reservePort() (string, error) {
	l, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return "", &node.ListenError{Name: "a process of the demo", Address: anyLoopbackPort, Cause: err}
	}
	d.sockets[l.Addr().String()] = l
	return l.Addr().String(), nil
}
