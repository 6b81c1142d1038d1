package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/agent"
	"github.com/cyclamenpoint/cyclamenpoint/config"
	"github.com/cyclamenpoint/cyclamenpoint/decision"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
	"github.com/cyclamenpoint/cyclamenpoint/settings"
)

// Agent is a running agent.
type Agent struct {
	agent     *agent.Agent
	listeners []*listener
	cancel    context.CancelFunc
}

// EndpointError tells that an agent's endpoint is not in the configuration.
type EndpointError struct {
	Endpoint string
}

// Error says which endpoint.
func (e *EndpointError) Error() string {
	return "endpoint " + e.Endpoint + " is not in the configuration"
}

// StartAgent starts the agent beside an endpoint of the configuration in
// force. Errors are *EndpointError, *ListenError or of the settings.
func StartAgent(s *settings.Agent, secret peer.Secret, holder *config.Holder, sockets Sockets) (*Agent, error) {
	endpoint := holder.Current().Deployment.Endpoint(s.Endpoint)
	if endpoint == nil {
		return nil, &EndpointError{Endpoint: s.Endpoint}
	}
	security, err := peer.NewSecurity(secret, s.TLS)
	if err != nil {
		return nil, err
	}
	decisions := decision.NewLog(decisionsKept)
	incarnation := uint64(time.Now().UnixNano())
	a, err := newAgent(endpoint, incarnation, holder, decisions)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Agent{agent: a, cancel: cancel}
	go a.Run(ctx)
	service := &service{
		name: s.Name, role: "agent", failureDomain: s.FailureDomain, incarnation: incarnation, holder: holder, decisions: decisions,
		inFlight: func() int { return int(a.Load().GetRunning()) },
	}
	if err := n.listen(s, security, service, sockets); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

func newAgent(endpoint *deployment.Endpoint, incarnation uint64, holder *config.Holder, decisions *decision.Log) (*agent.Agent, error) {
	return agent.New(agent.Options{
		Endpoint:    endpoint.Name,
		Address:     endpoint.Address,
		Slots:       endpoint.Concurrency,
		Incarnation: incarnation,
		Config:      holder,
		Decisions:   decisions,
	})
}

func (n *Agent) listen(s *settings.Agent, security *peer.Security, service *service, sockets Sockets) error {
	mux := http.NewServeMux()
	mux.Handle(n.agent.Handler())
	peers, err := sockets.guarded("peers", s.Peers, security, mux)
	if err != nil {
		return err
	}
	n.listeners = append(n.listeners, peers)
	operators, err := sockets.guarded("operators", s.Operators, security, service.handler())
	if err != nil {
		return err
	}
	n.listeners = append(n.listeners, operators)
	return nil
}

// Stop refuses new attempts, waits for those that run, and then ends the
// agent. ctx bounds the wait.
func (n *Agent) Stop(ctx context.Context) error {
	err := n.agent.Drain(ctx)
	n.close()
	return err
}

func (n *Agent) close() {
	n.cancel()
	for _, l := range n.listeners {
		l.close()
	}
}
