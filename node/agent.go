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

// leaveNotice is how long a stopping agent waits, after it has told the others
// that it leaves, before it refuses new attempts. Fewer attempts are refused
// then.
const leaveNotice = 500 * time.Millisecond

// Agent is a running agent.
type Agent struct {
	core     *core
	settings *settings.Agent
	// agent is nil until the configuration has told of the endpoint.
	agent atomic.Pointer[agent.Agent]
	// group is nil until then too, and for a service worker.
	group atomic.Pointer[group]
	// dead is true once the agent has been aborted.
	dead atomic.Bool
}

// EndpointError tells that an agent's endpoint is not in the configuration.
type EndpointError struct {
	Endpoint string
}

// Error says which endpoint.
func (e *EndpointError) Error() string {
	return "endpoint " + e.Endpoint + " is not in the configuration"
}

// StartAgent starts the agent beside an endpoint; sockets may be nil. The agent
// takes attempts once a configuration with its endpoint is in force. Errors are
// *ListenError or of the settings.
func StartAgent(s *settings.Agent, secret peer.Secret, sockets Sockets) (*Agent, error) {
	c, err := newCore(&s.Node, secret, "agent", s.Endpoint, membership.KindAgent)
	if err != nil {
		return nil, err
	}
	n := &Agent{core: c, settings: s}
	service := &service{core: c, inFlight: n.inFlight, groups: n.groupStatus}
	if err := c.start(sockets, service, n.handle); err != nil {
		c.close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	end := c.cancel
	c.cancel = func() {
		cancel()
		end()
	}
	c.duty(ctx, n.serve)
	return n, nil
}

// Ready tells whether the agent serves its endpoint.
func (n *Agent) Ready() bool { return n.agent.Load() != nil }

// handle passes attempts to the agent once there is one. Until then its answer
// proves nothing but that the process lives.
func (n *Agent) handle(mux *http.ServeMux) {
	n.handlePlacement(mux)
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

// serve waits for the endpoint's configuration and then watches the endpoint.
func (n *Agent) serve(ctx context.Context) {
	endpoint, err := n.awaitEndpoint(ctx)
	if err != nil {
		klog.Warningf("agent: endpoint %s was not served: %s.", n.settings.Endpoint, err)
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
		n.core.publishClaims(claims)
		n.core.duty(ctx, claims.Run)
		n.core.duty(ctx, n.core.sweepClaims)
	}
	n.agent.Store(a)
	klog.Infof("agent: serving endpoint %s at %s, incarnation %d.", endpoint.Name, endpoint.Address, n.core.incarnation)
	n.servePlacement(ctx, endpoint)
	a.Run(ctx)
}

// awaitEndpoint waits until a configuration with the endpoint is in force.
func (n *Agent) awaitEndpoint(ctx context.Context) (*deployment.Endpoint, error) {
	if err := n.core.waitReady(ctx); err != nil {
		return nil, err
	}
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		if e := n.core.holder.Current().Deployment.Endpoint(n.settings.Endpoint); e != nil {
			return e, nil
		}
		select {
		case <-ctx.Done():
			return nil, &EndpointError{Endpoint: n.settings.Endpoint}
		case <-ticker.C:
		}
	}
}

// claimWritesPerSecond bounds the writes to the table for the claims of all
// agents together.
const claimWritesPerSecond = 45

// newClaims returns the ledger of the protected requests that run here. The
// workers of all services share the writes to the table.
func (n *Agent) newClaims() *claim.Ledger {
	workers := 0
	for _, e := range n.core.holder.Current().Deployment.Endpoints {
		if e.Kind == deployment.KindService {
			workers++
		}
	}
	share := time.Duration(workers) * time.Second / claimWritesPerSecond
	return claim.New(claim.Settings{
		Runner: n.settings.Endpoint, Nonce: newNonce(), FlushInterval: max(claim.DefaultFlushInterval, share),
	}, n.core.table, n.core.objects, newRandom())
}

// Stop tells the others that the agent leaves, refuses new attempts, waits for
// those that run, and then ends the agent. ctx bounds the wait.
func (n *Agent) Stop(ctx context.Context) error {
	n.core.members.Leave()
	notice := time.NewTimer(leaveNotice)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	var err error
	if a := n.agent.Load(); a != nil {
		err = a.Drain(ctx)
	}
	n.core.close()
	return errors.WithMessage(err, n.settings.Endpoint)
}

// Abort ends the agent at once, as the death of its process does: calls break
// off, and nothing more is written.
func (n *Agent) Abort() {
	n.dead.Store(true)
	n.core.abort()
}
