package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/agent"
	"github.com/cyclamenpoint/cyclamenpoint/claim"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/membership"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
	"github.com/cyclamenpoint/cyclamenpoint/settings"
)

// leaveDelay is how long a stopping agent continues to accept attempts after it
// has announced that it leaves. Entry nodes choose other endpoints in the
// meantime, so that fewer attempts are refused.
const leaveDelay = 500 * time.Millisecond

// Agent is a running agent.
type Agent struct {
	core     *core
	settings *settings.Agent
	// agent is nil until a configuration with the endpoint is in force.
	agent atomic.Pointer[agent.Agent]
	// group is nil until agent is set, and always for an endpoint without a rank
	// group.
	group atomic.Pointer[group]
	// aborted is set by Abort.
	aborted atomic.Bool
}

// EndpointNotFoundError reports that an agent's endpoint is not in the
// configuration.
type EndpointNotFoundError struct {
	Endpoint string
}

// Error names the endpoint.
func (e *EndpointNotFoundError) Error() string {
	return "endpoint " + e.Endpoint + " is not in the configuration"
}

// StartAgent starts the agent of an endpoint; sockets may be nil. The agent
// accepts attempts once a configuration with its endpoint is in force. An error
// is a *ListenError or a fault of the settings.
func StartAgent(s *settings.Agent, secret peer.Secret, sockets Sockets) (*Agent, error) {
	c, err := newCore(&s.Node, secret, "agent", s.Endpoint, membership.KindAgent)
	if err != nil {
		return nil, err
	}
	n := &Agent{core: c, settings: s}
	service := &service{core: c, inFlight: n.inFlight, groups: n.groupStatus}
	if err := c.start(sockets, service, n.registerHandlers); err != nil {
		c.close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancelCore := c.cancel
	c.cancel = func() {
		cancel()
		cancelCore()
	}
	c.runTask(ctx, n.serveEndpoint)
	return n, nil
}

// Ready reports whether the agent serves its endpoint.
func (n *Agent) Ready() bool { return n.agent.Load() != nil }

// registerHandlers adds the handlers for entry nodes and for the agents of the
// rank group. Until the agent exists, an attempt is answered with status 503,
// which does not prove that the attempt was not run.
func (n *Agent) registerHandlers(mux *http.ServeMux) {
	n.registerPlacementHandlers(mux)
	mux.HandleFunc(agent.Path, func(w http.ResponseWriter, r *http.Request) {
		a := n.agent.Load()
		if a == nil {
			http.Error(w, "the agent has no configuration yet", http.StatusServiceUnavailable)
			return
		}
		a.Handler().ServeHTTP(w, r)
	})
}

func (n *Agent) inFlight() int {
	if a := n.agent.Load(); a != nil {
		return int(a.Load().GetRunning())
	}
	return 0
}

// serveEndpoint creates the agent once the endpoint is configured, and monitors
// the endpoint until ctx ends.
func (n *Agent) serveEndpoint(ctx context.Context) {
	endpoint, err := n.awaitEndpoint(ctx)
	if err != nil {
		klog.Warningf("agent: endpoint %s not served: %s.", n.settings.Endpoint, err)
		return
	}
	claims := n.newClaims()
	a, err := agent.New(agent.Options{
		Endpoint:    endpoint.Name,
		Address:     endpoint.Address,
		Slots:       endpoint.Concurrency,
		Incarnation: n.core.incarnation,
		Config:      n.core.holder,
		Claims:      claims,
		Quarantine:  n.core.suspects,
		Available:   n.core.Available,
		Decisions:   n.core.decisions,
	})
	if err != nil {
		klog.Errorf("agent: endpoint %s cannot be served: %s.", endpoint.Name, err)
		return
	}
	if endpoint.Kind == deployment.KindService {
		n.core.publishClaimVars(claims)
		n.core.runTask(ctx, claims.Run)
		n.core.runTask(ctx, n.core.sweepClaims)
	}
	n.agent.Store(a)
	klog.Infof("agent: serving endpoint %s at %s, incarnation %d.", endpoint.Name, endpoint.Address, n.core.incarnation)
	n.startPlacement(ctx, endpoint)
	a.Run(ctx)
}

// awaitEndpoint waits until a configuration with the endpoint is in force.
func (n *Agent) awaitEndpoint(ctx context.Context) (*deployment.Endpoint, error) {
	if err := n.core.waitReady(ctx); err != nil {
		return nil, err
	}
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		if e := n.core.holder.Current().Deployment.Endpoint(n.settings.Endpoint); e != nil {
			return e, nil
		}
		select {
		case <-ctx.Done():
			return nil, &EndpointNotFoundError{Endpoint: n.settings.Endpoint}
		case <-ticker.C:
		}
	}
}

// claimWritesPerSecond bounds the rate at which all agents together write their
// claims to the table.
const claimWritesPerSecond = 45

// newClaims returns the ledger of the protected requests that run at this
// endpoint. The endpoints of all services share claimWritesPerSecond equally, so
// the flush interval grows with their number.
func (n *Agent) newClaims() *claim.Ledger {
	endpoints := 0
	for _, e := range n.core.holder.Current().Deployment.Endpoints {
		if e.Kind == deployment.KindService {
			endpoints++
		}
	}
	interval := time.Duration(endpoints) * time.Second / claimWritesPerSecond
	return claim.New(claim.Settings{
		Runner: n.settings.Endpoint, Nonce: newUniqueID(), FlushInterval: max(claim.DefaultFlushInterval, interval),
	}, n.core.table, n.core.objects, newRandom())
}

// Stop announces that the agent leaves, refuses new attempts, waits for those
// that run, and then shuts the agent down. ctx bounds the wait.
func (n *Agent) Stop(ctx context.Context) error {
	n.core.members.Leave()
	delay := time.NewTimer(leaveDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
	}
	var err error
	if a := n.agent.Load(); a != nil {
		err = a.Drain(ctx)
	}
	n.core.close()
	return errors.WithMessage(err, n.settings.Endpoint)
}

// Abort stops the agent at once, as if its process had been killed: open
// connections are closed, and nothing more is written to the table.
func (n *Agent) Abort() {
	n.aborted.Store(true)
	n.core.abort()
}
