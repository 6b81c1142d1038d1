package node

import (
	"context"
	"expvar"
	"net/http"

	"github.com/cyclamenpoint/cyclamenpoint/agentconn"
	"github.com/cyclamenpoint/cyclamenpoint/config"
	"github.com/cyclamenpoint/cyclamenpoint/decision"
	"github.com/cyclamenpoint/cyclamenpoint/dispatch"
	"github.com/cyclamenpoint/cyclamenpoint/entry"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
	"github.com/cyclamenpoint/cyclamenpoint/retry"
	"github.com/cyclamenpoint/cyclamenpoint/router"
	"github.com/cyclamenpoint/cyclamenpoint/settings"
)

// decisionsKept is how many decisions a node remembers.
const decisionsKept = 8192

// retryPolicy and retryBudget bound the retries of an entry node.
var (
	retryPolicy = retry.Policy{
		MaxAttempts: retry.DefaultMaxAttempts,
		Base:        retry.DefaultBase,
		Cap:         retry.DefaultCap,
	}
	retryBudget = retry.BudgetConfig{
		Ratio:               retry.DefaultRatio,
		NodeReserve:         retry.DefaultNodeReserve,
		OrganisationReserve: retry.DefaultOrganisationReserve,
		Organisations:       retry.DefaultOrganisations,
	}
)

// quarantineBounds bound what a node remembers of crashes.
var quarantineBounds = quarantine.Config{
	Keep:       quarantine.DefaultKeep,
	MaxCrashes: quarantine.DefaultMaxCrashes,
	MaxClears:  quarantine.DefaultMaxClears,
}

// Entry is a running entry node.
type Entry struct {
	entry     *entry.Entry
	listeners []*listener
	pool      *agentconn.Pool
}

// StartEntry starts an entry node; sockets may be nil. Errors are *ListenError or of the settings.
func StartEntry(s *settings.Entry, secret peer.Secret, holder *config.Holder, sockets Sockets) (*Entry, error) {
	security, err := peer.NewSecurity(secret, s.TLS)
	if err != nil {
		return nil, err
	}
	budget, err := retry.NewBudget(retryBudget)
	if err != nil {
		return nil, err
	}
	suspects, err := quarantine.NewList(quarantineBounds)
	if err != nil {
		return nil, err
	}
	decisions := decision.NewLog(decisionsKept)
	pool := agentconn.NewPool(security)
	dispatcher := dispatch.New(router.New(router.Options{
		Config: holder, Prober: pool, Members: noMembers{},
		View: picker.Viewpoint{FailureDomain: s.FailureDomain, Region: s.Region},
	}), pool, retryPolicy, budget, suspects, decisions)
	front := entry.New(entry.Options{
		Config: holder, Dispatcher: dispatcher, Readiness: holderReady{}, Limits: s.Limits, DebugVars: s.DebugVars,
	})
	n := &Entry{entry: front, pool: pool}
	service := &service{name: s.Name, role: "entry", failureDomain: s.FailureDomain, holder: holder, suspects: suspects, decisions: decisions, inFlight: front.InFlight}
	if err := n.listen(s, security, service, sockets); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

func (n *Entry) listen(s *settings.Entry, security *peer.Security, service *service, sockets Sockets) error {
	operators, err := sockets.guarded("operators", s.Operators, security, service.handler())
	if err != nil {
		return err
	}
	n.listeners = append(n.listeners, operators)
	callers, err := sockets.listen("callers", s.Callers, n.entry.Server(), plain)
	if err != nil {
		return err
	}
	n.listeners = append(n.listeners, callers)
	return nil
}

// Stop refuses new requests as not run, waits for those in flight, and then
// ends the node. ctx bounds the wait.
func (n *Entry) Stop(ctx context.Context) error {
	err := n.entry.Drain(ctx)
	n.close()
	return err
}

func (n *Entry) close() {
	n.pool.Close()
	for _, l := range n.listeners {
		l.close()
	}
}

// operatorsMux serves the operators' calls and the node's figures.
func operatorsMux(service cyclamenpointv1connect.NodeServiceHandler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(cyclamenpointv1connect.NewNodeServiceHandler(service))
	mux.Handle("/debug/vars", expvar.Handler())
	return mux
}

// noMembers knows nothing of the endpoints.
type noMembers struct{}

// States implements router.Members.
func (noMembers) States() map[string]picker.State { return make(map[string]picker.State) }

// holderReady is ready as soon as there is a configuration.
type holderReady struct{}

// Ready implements entry.Readiness.
func (holderReady) Ready() string { return "" }
