package agent

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/admission"
	"github.com/cyclamenpoint/cyclamenpoint/attempt"
	"github.com/cyclamenpoint/cyclamenpoint/decision"
	"github.com/cyclamenpoint/cyclamenpoint/engine"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
)

// Execute implements AgentService. It runs one attempt and streams the answer.
// The last frame holds the attempt's outcome.
func (a *Agent) Execute(ctx context.Context, req *connect.Request[pb.ExecuteRequest], stream *connect.ServerStream[pb.ExecuteResponse]) error {
	m := req.Msg
	out := newSender(stream, m.GetAttempt())
	defer out.close()
	if m.GetEndpoint() != a.opts.Endpoint {
		return a.refuse(out, m, pb.RefusalReason_REFUSAL_REASON_WRONG_ENDPOINT, 0)
	}
	if a.lacksProtection(m) {
		return a.refuse(out, m, pb.RefusalReason_REFUSAL_REASON_STALE_CONFIG, 0)
	}
	att, err := a.ledger.Accept(attemptID(m.GetAttempt()), attempt.Target{
		Incarnation: m.GetIncarnation(), Stamp: attempt.Stamp(m.GetStamp()),
	})
	if err != nil {
		return a.answerRejection(out, m, err)
	}
	return a.admit(ctx, out, m, att)
}

// answerRejection answers an attempt that the ledger did not accept or start.
// It sends a refusal only if the rejection proves that the attempt did not run.
func (a *Agent) answerRejection(out *sender, m *pb.ExecuteRequest, err error) error {
	var rejected *attempt.RejectedError
	if !errors.As(err, &rejected) || rejected.Outcome(1) != attempt.NotRun {
		a.recordDecision(m, "was rejected: %s.", err)
		return out.end(pb.Outcome_OUTCOME_UNKNOWN, err.Error())
	}
	return a.refuse(out, m, rejectionReasons[rejected.Reason], 0)
}

// rejectionReasons maps the ledger's reasons to those sent to entry nodes.
var rejectionReasons = map[attempt.Reason]pb.RefusalReason{
	attempt.ReasonIncarnation: pb.RefusalReason_REFUSAL_REASON_INCARNATION,
	attempt.ReasonStale:       pb.RefusalReason_REFUSAL_REASON_INCARNATION,
	attempt.ReasonFull:        pb.RefusalReason_REFUSAL_REASON_QUEUE_FULL,
	attempt.ReasonDuplicate:   pb.RefusalReason_REFUSAL_REASON_DUPLICATE,
	attempt.ReasonRevoked:     pb.RefusalReason_REFUSAL_REASON_REVOKED,
}

// refuse sends the proof that the attempt did not run. It includes the current
// load for the entry node's next choice of endpoint.
func (a *Agent) refuse(out *sender, m *pb.ExecuteRequest, reason pb.RefusalReason, retryAfter time.Duration) error {
	a.recordDecision(m, "refused: %s.", reason)
	return out.refuse(&pb.AttemptRefused{
		Reason:           reason,
		Incarnation:      a.opts.Incarnation,
		RetryAfterMillis: retryAfter.Milliseconds(),
		Load:             a.Load(),
	})
}

// recordDecision records a decision on an attempt.
func (a *Agent) recordDecision(m *pb.ExecuteRequest, format string, args ...any) {
	prefix := []any{m.GetAttempt().GetNumber(), a.opts.Endpoint}
	a.opts.Decisions.Add(decision.Admission, m.GetAttempt().GetRequestId(),
		"attempt %d at endpoint %s "+format, append(prefix, args...)...)
}

// admit waits until the quarantine gate and the queue admit the attempt, and
// runs it.
func (a *Agent) admit(ctx context.Context, out *sender, m *pb.ExecuteRequest, att *attempt.Attempt) error {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := cancelOnRevoke(waitCtx, att, cancel)
	defer stop()
	permit, err := a.enterGate(waitCtx, out, m, att)
	if permit == nil {
		return err
	}
	ending := quarantine.EndedIncomplete
	defer func() { permit.End(ending) }()
	release, err := a.queue.Admit(waitCtx, a.admissionRequest(m))
	if err != nil {
		return a.answerNotAdmitted(out, m, att, err)
	}
	defer release()
	if err := att.Start(); err != nil {
		return a.answerRejection(out, m, err)
	}
	if err := permit.Start(); err != nil {
		att.Withdraw()
		return a.refuseSuspect(out, m, err)
	}
	out.started()
	a.recordDecision(m, "admitted.")
	if m.GetProtected() {
		err = a.runProtected(ctx, out, m, att)
	} else {
		err = a.run(ctx, out, m, att)
	}
	if out.complete {
		ending = quarantine.EndedComplete
	}
	return err
}

// cancelOnRevoke calls cancel if the attempt is revoked before ctx ends. The
// returned function ends the watch; it also calls cancel.
func cancelOnRevoke(ctx context.Context, att *attempt.Attempt, cancel context.CancelFunc) func() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-att.Revoked():
			cancel()
		case <-ctx.Done():
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// admissionRequest returns the admission queue's input for an attempt.
func (a *Agent) admissionRequest(m *pb.ExecuteRequest) admission.Request {
	share := 1
	if snap := a.opts.Config.Current(); snap != nil {
		if org := snap.Deployment.Organisation(m.GetOrganisation()); org != nil {
			share = org.Share
		}
	}
	return admission.Request{
		ID:           m.GetAttempt().GetRequestId(),
		Organisation: m.GetOrganisation(),
		Share:        share,
		Priority:     m.GetPriority(),
		Cost:         m.GetCost(),
		Remaining:    time.Duration(m.GetRemainingMillis()) * time.Millisecond,
	}
}

// answerNotAdmitted answers an attempt that the admission queue did not admit.
func (a *Agent) answerNotAdmitted(out *sender, m *pb.ExecuteRequest, att *attempt.Attempt, err error) error {
	var refused *admission.RefusedError
	if !errors.As(err, &refused) || !att.Refuse() {
		if att.State() == attempt.Revoked {
			return a.refuse(out, m, pb.RefusalReason_REFUSAL_REASON_REVOKED, 0)
		}
		a.recordDecision(m, "not admitted: %s.", err)
		return out.end(pb.Outcome_OUTCOME_UNKNOWN, err.Error())
	}
	return a.refuse(out, m, refusalReasons[refused.Reason], refused.RetryAfter)
}

// refusalReasons maps the admission queue's reasons to those sent to entry nodes.
var refusalReasons = map[admission.Reason]pb.RefusalReason{
	admission.ReasonQueueFull:  pb.RefusalReason_REFUSAL_REASON_QUEUE_FULL,
	admission.ReasonDeadline:   pb.RefusalReason_REFUSAL_REASON_DEADLINE,
	admission.ReasonDraining:   pb.RefusalReason_REFUSAL_REASON_DRAINING,
	admission.ReasonEngineDown: pb.RefusalReason_REFUSAL_REASON_ENGINE_DOWN,
	admission.ReasonCancelled:  pb.RefusalReason_REFUSAL_REASON_CANCELLED,
}

// run calls the endpoint and ends the stream with the outcome of the call.
func (a *Agent) run(ctx context.Context, out *sender, m *pb.ExecuteRequest, att *attempt.Attempt) error {
	err := a.client.Run(ctx, engineCall(m), out)
	if err == nil {
		att.Finish(true)
		a.recordDecision(m, "answered completely.")
		return out.end(pb.Outcome_OUTCOME_DONE, "")
	}
	a.recordDecision(m, "failed: %s.", err)
	var notStarted *engine.NotStartedError
	if errors.As(err, &notStarted) {
		att.Withdraw()
		return out.end(pb.Outcome_OUTCOME_NOT_RUN, err.Error())
	}
	att.Finish(false)
	a.monitor.checkAfterFailure(ctx, err)
	if a.opts.Quarantine.State(quarantine.Fingerprint(m.GetFingerprint())) != quarantine.Clean {
		out.facts = a.encodeFacts()
	}
	return out.end(pb.Outcome_OUTCOME_BROKEN, err.Error())
}

func engineCall(m *pb.ExecuteRequest) engine.Call {
	call := engine.Call{
		RequestID:    m.GetAttempt().GetRequestId(),
		Method:       m.GetMethod(),
		Path:         m.GetPath(),
		Body:         m.GetBody(),
		Priority:     m.GetPriority(),
		ResumeTokens: m.GetResumeOffset(),
	}
	for _, h := range m.GetHeaders() {
		call.Headers = append(call.Headers, engine.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return call
}
