// Package agent implements the agent, which runs next to an endpoint. All
// requests to the endpoint go through its agent, so that the agent alone
// decides which attempts run there, and alone can prove that an attempt did not
// run.
package agent

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/admission"
	"github.com/cyclamenpoint/cyclamenpoint/attempt"
	"github.com/cyclamenpoint/cyclamenpoint/config"
	"github.com/cyclamenpoint/cyclamenpoint/decision"
	"github.com/cyclamenpoint/cyclamenpoint/engine"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
)

// Options describe an agent.
type Options struct {
	// Endpoint is the endpoint's name in the configuration.
	Endpoint string
	// Address is the endpoint's own address, as IP:port.
	Address string
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// Incarnation identifies one start of the agent; a later start has a higher
	// one.
	Incarnation uint64
	// Config holds the configuration in force.
	Config *config.Holder
	// Claims decides which protected requests may run.
	Claims Claims
	// Quarantine holds the crashes that this node has recorded or received.
	Quarantine *quarantine.List
	// Available returns the endpoints that are not known to be dead or leaving,
	// or all of them if every one is.
	Available func(endpoints []string) []string
	// Decisions records the agent's decisions.
	Decisions *decision.Log
}

// Agent serves the attempts for one endpoint. It is safe for concurrent use.
type Agent struct {
	opts    Options
	ledger  *attempt.Ledger
	queue   *admission.Queue
	client  *engine.Client
	monitor *monitor
	gate    *quarantine.Gate
	// handler is created once, since creating it costs more than serving a
	// probe.
	handler http.Handler
}

// New returns an agent. It follows its endpoint's health only while Run runs.
func New(opts Options) (*Agent, error) {
	ledger, err := attempt.New(attempt.Config{
		Incarnation: opts.Incarnation,
		Window:      attempt.DefaultWindow,
		Capacity:    attempt.DefaultCapacity,
	})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	queue, err := admission.New(admission.Config{
		Endpoint:    opts.Endpoint,
		Slots:       opts.Slots,
		MaxQueued:   admission.DefaultMaxQueued,
		TimePerCost: admission.DefaultTimePerCost,
		DrainGrace:  admission.DefaultDrainGrace,
	})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	client := engine.NewClient(opts.Address)
	a := &Agent{opts: opts, ledger: ledger, queue: queue, client: client}
	a.gate = quarantine.NewGate(opts.Quarantine, opts.Endpoint, opts.Incarnation, a.isTrialEndpoint)
	_, a.handler = cyclamenpointv1connect.NewAgentServiceHandler(a, peer.ServerOptions())
	a.monitor = newMonitor(client, queue, a.gate, opts.Endpoint)
	return a, nil
}

// Run monitors the endpoint until ctx ends.
func (a *Agent) Run(ctx context.Context) { a.monitor.run(ctx) }

// Drain refuses new attempts and returns when no attempt is running.
func (a *Agent) Drain(ctx context.Context) error {
	return errors.WithStack(a.queue.Drain(ctx))
}

// Path is the path prefix of an agent's interface for entry nodes.
const Path = "/" + cyclamenpointv1connect.AgentServiceName + "/"

// Handler returns the agent's interface for entry nodes.
func (a *Agent) Handler() http.Handler { return a.handler }

// Load returns the endpoint's current load.
func (a *Agent) Load() *pb.ProbeResponse {
	load := a.queue.Load()
	target := a.ledger.Target()
	return &pb.ProbeResponse{
		Endpoint:    a.opts.Endpoint,
		Incarnation: target.Incarnation,
		Stamp:       int64(target.Stamp),
		Queued:      uint32(load.Queued),
		Running:     uint32(load.Running),
		Slots:       uint32(load.Slots),
		WaitMillis:  uint32(load.Wait / time.Millisecond),
		Draining:    load.Draining,
		Down:        load.Down,
	}
}

// Probe implements AgentService. It returns the endpoint's load, and how many
// of the prefixes in the request are in the engine's cache.
func (a *Agent) Probe(_ context.Context, req *connect.Request[pb.ProbeRequest]) (*connect.Response[pb.ProbeResponse], error) {
	load := a.Load()
	load.Matched = a.monitor.matchedPrefixes(req.Msg.GetPrefixes())
	return connect.NewResponse(load), nil
}

// Revoke implements AgentService. It prevents an attempt that has not started
// from ever running, and returns the attempt's outcome.
func (a *Agent) Revoke(_ context.Context, req *connect.Request[pb.RevokeRequest]) (*connect.Response[pb.RevokeResponse], error) {
	m := req.Msg
	outcome := a.ledger.Revoke(attemptID(m.GetAttempt()), attempt.Target{
		Incarnation: m.GetIncarnation(), Stamp: attempt.Stamp(m.GetStamp()),
	})
	a.opts.Decisions.Add(decision.Admission, m.GetAttempt().GetRequestId(),
		"attempt %d revoked at endpoint %s: %s.", m.GetAttempt().GetNumber(), a.opts.Endpoint, outcome)
	return connect.NewResponse(&pb.RevokeResponse{Outcome: outcomeToProto(outcome), Incarnation: a.opts.Incarnation}), nil
}

func attemptID(id *pb.AttemptId) attempt.ID {
	return attempt.ID{Request: id.GetRequestId(), Number: id.GetNumber()}
}

func outcomeToProto(o attempt.Outcome) pb.Outcome {
	switch o {
	case attempt.NotRun:
		return pb.Outcome_OUTCOME_NOT_RUN
	case attempt.Done:
		return pb.Outcome_OUTCOME_DONE
	default:
		return pb.Outcome_OUTCOME_UNKNOWN
	}
}
