package node

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/agentconn"
	"github.com/cyclamenpoint/cyclamenpoint/balancer"
	"github.com/cyclamenpoint/cyclamenpoint/dispatch"
	"github.com/cyclamenpoint/cyclamenpoint/entry"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/membership"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
	"github.com/cyclamenpoint/cyclamenpoint/quota"
	"github.com/cyclamenpoint/cyclamenpoint/retry"
	"github.com/cyclamenpoint/cyclamenpoint/router"
	"github.com/cyclamenpoint/cyclamenpoint/settings"
)

// maxDecisions is how many decisions a node stores for Explain.
const maxDecisions = 8192

// retryPolicy and retryBudgetConfig bound the retries of an entry node.
var (
	retryPolicy = retry.Policy{
		MaxAttempts: retry.DefaultMaxAttempts,
		BaseBackoff: retry.DefaultBaseBackoff,
		MaxBackoff:  retry.DefaultMaxBackoff,
	}
	retryBudgetConfig = retry.BudgetConfig{
		Ratio:               retry.DefaultRatio,
		NodeReserve:         retry.DefaultNodeReserve,
		OrganisationReserve: retry.DefaultOrganisationReserve,
		Organisations:       retry.DefaultOrganisations,
	}
)

// quarantineConfig bounds the crashes and clearances that a node stores.
var quarantineConfig = quarantine.Config{
	Keep:       quarantine.DefaultKeep,
	MaxCrashes: quarantine.DefaultMaxCrashes,
	MaxClears:  quarantine.DefaultMaxClears,
}

// quotaConfig holds the time window of the organisations' limits and the
// lifetime of a demand report.
var quotaConfig = quota.Config{Window: quota.DefaultWindow, ReportTTL: quota.DefaultReportTTL}

// Entry is a running entry node.
type Entry struct {
	core  *core
	entry *entry.Entry
	pool  *agentconn.Pool
}

// StartEntry starts an entry node; sockets may be nil. An error is a
// *ListenError or a fault of the settings.
func StartEntry(s *settings.Entry, secret peer.Secret, sockets Sockets) (*Entry, error) {
	c, err := newCore(&s.Node, secret, "entry", s.Name, membership.KindEntry)
	if err != nil {
		return nil, err
	}
	budget, err := retry.NewBudget(retryBudgetConfig)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	limiter, err := quota.New(quotaConfig, newRandom())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	pool := agentconn.NewPool(c.security)
	routes := router.New(router.Options{
		Config: c.holder, Prober: pool, Members: c,
		Balancer: balancer.Config{
			Locality:     picker.Locality{FailureDomain: s.FailureDomain, Region: s.Region},
			Policy:       picker.DefaultProbePolicy,
			ProbeTimeout: balancer.DefaultProbeTimeout,
			Rand:         newRandom(),
		},
	})
	dispatcher := dispatch.New(routes, pool, retryPolicy, budget, c.suspects, c.decisions)
	e := entry.New(entry.Options{
		Config: c.holder, Dispatcher: dispatcher, Limiter: limiter, Readiness: c, Limits: s.Limits, DebugVars: s.DebugVars,
	})
	n := &Entry{core: c, entry: e, pool: pool}
	if err := n.start(s, limiter, routes, sockets); err != nil {
		n.core.close()
		return nil, err
	}
	return n, nil
}

func (n *Entry) start(s *settings.Entry, limiter *quota.Limiter, routes *router.Router, sockets Sockets) error {
	service := &service{core: n.core, inFlight: n.entry.InFlight}
	if err := n.core.start(sockets, service, func(*http.ServeMux) {}); err != nil {
		return err
	}
	callers, err := sockets.listen("callers", s.CallerAddress, n.entry.Server(), n.serveCallers)
	if err != nil {
		return err
	}
	n.core.listeners = append(n.core.listeners, callers)
	ctx, cancel := context.WithCancel(context.Background())
	cancelCore := n.core.cancel
	n.core.cancel = func() {
		cancel()
		cancelCore()
	}
	n.core.runTask(ctx, routes.Run)
	n.core.runTask(ctx, n.entry.RunLimits)
	n.core.runTask(ctx, (&demandReporter{core: n.core, limiter: limiter}).run)
	return nil
}

// serveCallers serves callers within the limits of the process.
func (n *Entry) serveCallers(server *http.Server, socket net.Listener) error {
	return servePlain(server, n.entry.Limit(socket, server))
}

// Ready returns "" when the node may serve requests, else the reason why not.
func (n *Entry) Ready() string { return n.core.Ready() }

// Stop refuses new requests, with the statement that they did not run, waits
// for those in flight, and then shuts the node down. ctx bounds the wait.
func (n *Entry) Stop(ctx context.Context) error {
	n.core.members.Leave()
	err := n.entry.Drain(ctx)
	n.pool.Close()
	n.core.close()
	return err
}

// Abort stops the node at once, as if its process had been killed.
func (n *Entry) Abort() { n.core.abort() }

// operatorsMux serves the operators' calls and the node's expvar variables.
func operatorsMux(service cyclamenpointv1connect.NodeServiceHandler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(cyclamenpointv1connect.NewNodeServiceHandler(service))
	mux.Handle("/debug/vars", expvar.Handler())
	return mux
}

// waitReady waits until the node is ready and has a configuration, or ctx ends.
func (c *core) waitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for c.Ready() != "" || c.holder.Current() == nil {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for a configuration: "+c.Ready())
		case <-ticker.C:
		}
	}
	return nil
}

// readyPollInterval is the interval at which a starting node checks whether it
// is ready.
const readyPollInterval = 20 * time.Millisecond
