package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cyclamenpoint/cyclamenpoint/agent"
	"github.com/cyclamenpoint/cyclamenpoint/claim"
	"github.com/cyclamenpoint/cyclamenpoint/config"
	"github.com/cyclamenpoint/cyclamenpoint/decision"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/objectstore"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
	"github.com/cyclamenpoint/cyclamenpoint/settings"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// Agent is a running agent.
type Agent struct {
	agent     *agent.Agent
	listeners []*listener
	cancel    context.CancelFunc
	duties    sync.WaitGroup
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
	suspects, err := quarantine.NewList(quarantineBounds)
	if err != nil {
		return nil, err
	}
	claims := newClaims(s)
	a, err := agent.New(agent.Options{
		Endpoint:    endpoint.Name,
		Address:     endpoint.Address,
		Slots:       endpoint.Concurrency,
		Incarnation: incarnation,
		Config:      holder,
		Claims:      claims,
		Quarantine:  suspects,
		Decisions:   decisions,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Agent{agent: a, cancel: cancel}
	n.duties.Go(func() { a.Run(ctx) })
	if endpoint.Kind == deployment.KindService {
		n.duties.Go(func() { claims.Run(ctx) })
	}
	service := &service{
		name: s.Name, role: "agent", failureDomain: s.FailureDomain, incarnation: incarnation, holder: holder, suspects: suspects, decisions: decisions,
		inFlight: func() int { return int(a.Load().GetRunning()) },
	}
	if err := n.listen(s, security, service, sockets); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// newClaims returns the ledger of the protected requests that run here.
func newClaims(s *settings.Agent) *claim.Ledger {
	rows := table.NewClient(table.Settings{URL: s.Platform.Table, Timeout: s.Platform.TableTimeout}, nil)
	objects := objectstore.NewClient(objectstore.Settings{URL: s.Platform.Objects, Timeout: s.Platform.ObjectTimeout}, nil)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return claim.New(claim.Settings{Runner: s.Endpoint, Nonce: uuid.NewString()}, rows, objects, random)
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

// Abort ends the agent at once, as the death of its process does: calls break
// off, and nothing more is written.
func (n *Agent) Abort() {
	for _, l := range n.listeners {
		l.abort()
	}
	n.cancel()
	n.duties.Wait()
}

// close ends the agent's duties; that of the claims writes the answers that
// it holds before it ends.
func (n *Agent) close() {
	n.cancel()
	n.duties.Wait()
	for _, l := range n.listeners {
		l.close()
	}
}
