package node

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/agentconn"
	"github.com/cyclamenpoint/cyclamenpoint/config"
	"github.com/cyclamenpoint/cyclamenpoint/decision"
	"github.com/cyclamenpoint/cyclamenpoint/dispatch"
	"github.com/cyclamenpoint/cyclamenpoint/entry"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
	"github.com/cyclamenpoint/cyclamenpoint/router"
	"github.com/cyclamenpoint/cyclamenpoint/settings"
)

// decisionsKept is how many decisions a node remembers.
const decisionsKept = 8192

// Entry is a running entry node.
type Entry struct {
	entry     *entry.Entry
	listeners []*listener
	pool      *agentconn.Pool
	cancel    context.CancelFunc
}

// StartEntry starts an entry node; sockets may be nil. Errors are *ListenError or of the settings.
func StartEntry(s *settings.Entry, secret peer.Secret, holder *config.Holder, sockets Sockets) (*Entry, error) {
	security, err := peer.NewSecurity(secret, s.TLS)
	if err != nil {
		return nil, err
	}
	_, cancel := context.WithCancel(context.Background())
	decisions := decision.NewLog(decisionsKept)
	pool := agentconn.NewPool(security)
	dispatcher := dispatch.New(router.New(holder, pool), pool, simpleRetrier{}, decisions)
	front := entry.New(entry.Options{
		Config: holder, Dispatcher: dispatcher, Readiness: holderReady{}, Limits: s.Limits, DebugVars: s.DebugVars,
	})
	n := &Entry{entry: front, pool: pool, cancel: cancel}
	service := &service{name: s.Name, role: "entry", failureDomain: s.FailureDomain, holder: holder, decisions: decisions, inFlight: front.InFlight}
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
	n.cancel()
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

// holderReady is ready as soon as there is a configuration.
type holderReady struct{}

// Ready implements entry.Readiness.
func (holderReady) Ready() string { return "" }

// simpleRetrier allows a few attempts.
type simpleRetrier struct{}

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// Retry implements dispatch.Retrier.
func (simpleRetrier) Retry(_ *dispatch.Request, _ dispatch.Result, attempts int, left time.Duration) (time.Duration, string, bool) {
	if attempts >= maxAttempts {
		return 0, "all attempts are used", false
	}
	if left <= 0 {
		return 0, "the deadline has passed", false
	}
	return 0, "another endpoint may have room", true
}

// Started implements dispatch.Retrier.
func (simpleRetrier) Started(*dispatch.Request) {}
