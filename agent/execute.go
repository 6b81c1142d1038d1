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

// Execute runs one attempt. Its last frame tells what became of it.
func (a *Agent) Execute(ctx context.Context, req *connect.Request[pb.ExecuteRequest], stream *connect.ServerStream[pb.ExecuteResponse]) error {
	m := req.Msg
	out := newSender(stream, m.GetAttempt())
	defer out.close()
	if m.GetEndpoint() != a.opts.Endpoint {
		return a.refuse(out, m, pb.RefusalReason_REFUSAL_REASON_WRONG_ENDPOINT, 0)
	}
	if a.unprotected(m) {
		return a.refuse(out, m, pb.RefusalReason_REFUSAL_REASON_STALE_CONFIG, 0)
	}
	att, err := a.ledger.Accept(idOf(m.GetAttempt()), attempt.Target{
		Incarnation: m.GetIncarnation(), Stamp: attempt.Stamp(m.GetStamp()),
	})
	if err != nil {
		return a.rejected(out, m, err)
	}
	return a.admit(ctx, out, m, att)
}

// rejected answers a delivery that the ledger did not take. Only a rejection
// that proves something may be sent as a refusal.
func (a *Agent) rejected(out *sender, m *pb.ExecuteRequest, err error) error {
	var rejected *attempt.RejectedError
	if !errors.As(err, &rejected) || rejected.Outcome(1) != attempt.NotRun {
		a.note(m, "not taken: %s.", err)
		return out.end(pb.Outcome_OUTCOME_UNKNOWN, err.Error())
	}
	return a.refuse(out, m, rejections[rejected.Reason], 0)
}

var rejections = map[attempt.Reason]pb.RefusalReason{
	attempt.ReasonIncarnation: pb.RefusalReason_REFUSAL_REASON_INCARNATION,
	attempt.ReasonStale:       pb.RefusalReason_REFUSAL_REASON_INCARNATION,
	attempt.ReasonFull:        pb.RefusalReason_REFUSAL_REASON_QUEUE_FULL,
	attempt.ReasonDuplicate:   pb.RefusalReason_REFUSAL_REASON_DUPLICATE,
	attempt.ReasonRevoked:     pb.RefusalReason_REFUSAL_REASON_REVOKED,
}

// refuse sends the proof that the attempt did not run, with the load, so that
// the entry's next choice is better informed.
func (a *Agent) refuse(out *sender, m *pb.ExecuteRequest, reason pb.RefusalReason, retryAfter time.Duration) error {
	a.note(m, "refused: %s.", reason)
	return out.refuse(&pb.AttemptRefused{
		Reason:           reason,
		Incarnation:      a.opts.Incarnation,
		RetryAfterMillis: retryAfter.Milliseconds(),
		Load:             a.Load(),
	})
}

func (a *Agent) note(m *pb.ExecuteRequest, format string, args ...any) {
	prefix := []any{m.GetAttempt().GetNumber(), a.opts.Endpoint}
	a.opts.Decisions.Add(decision.Admission, m.GetAttempt().GetRequestId(),
		"attempt %d at endpoint %s "+format, append(prefix, args...)...)
}

// admit waits for a slot and runs the attempt in it.
func (a *Agent) admit(ctx context.Context, out *sender, m *pb.ExecuteRequest, att *attempt.Attempt) error {
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := cancelOnRevoke(waiting, att, cancel)
	defer stop()
	pass, err := a.enter(waiting, out, m, att)
	if pass == nil {
		return err
	}
	ending := quarantine.EndedIncomplete
	defer func() { pass.End(ending) }()
	release, err := a.queue.Admit(waiting, a.ticket(m))
	if err != nil {
		return a.notAdmitted(out, m, att, err)
	}
	defer release()
	if err := att.Start(); err != nil {
		return a.rejected(out, m, err)
	}
	if err := pass.Start(); err != nil {
		att.Withdraw()
		return a.suspected(out, m, err)
	}
	out.started()
	a.note(m, "admitted.")
	if m.GetProtected() {
		err = a.runProtected(ctx, out, m, att)
	} else {
		err = a.run(ctx, out, m, att)
	}
	if out.whole {
		ending = quarantine.EndedComplete
	}
	return err
}

// cancelOnRevoke ends the wait for a slot when the attempt is revoked.
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

func (a *Agent) ticket(m *pb.ExecuteRequest) admission.Request {
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

func (a *Agent) notAdmitted(out *sender, m *pb.ExecuteRequest, att *attempt.Attempt, err error) error {
	var refused *admission.RefusedError
	if !errors.As(err, &refused) || !att.Refuse() {
		if att.State() == attempt.Revoked {
			return a.refuse(out, m, pb.RefusalReason_REFUSAL_REASON_REVOKED, 0)
		}
		a.note(m, "not admitted: %s.", err)
		return out.end(pb.Outcome_OUTCOME_UNKNOWN, err.Error())
	}
	return a.refuse(out, m, refusals[refused.Reason], refused.RetryAfter)
}

var refusals = map[admission.Reason]pb.RefusalReason{
	admission.ReasonQueueFull:  pb.RefusalReason_REFUSAL_REASON_QUEUE_FULL,
	admission.ReasonDeadline:   pb.RefusalReason_REFUSAL_REASON_DEADLINE,
	admission.ReasonDraining:   pb.RefusalReason_REFUSAL_REASON_DRAINING,
	admission.ReasonEngineDown: pb.RefusalReason_REFUSAL_REASON_ENGINE_DOWN,
	admission.ReasonCancelled:  pb.RefusalReason_REFUSAL_REASON_CANCELLED,
}

// run calls the endpoint and tells what became of the call.
func (a *Agent) run(ctx context.Context, out *sender, m *pb.ExecuteRequest, att *attempt.Attempt) error {
	err := a.client.Run(ctx, callOf(m), out)
	if err == nil {
		att.Finish(true)
		a.note(m, "answered whole.")
		return out.end(pb.Outcome_OUTCOME_DONE, "")
	}
	a.note(m, "failed: %s.", err)
	var notStarted *engine.NotStartedError
	if errors.As(err, &notStarted) {
		att.Withdraw()
		return out.end(pb.Outcome_OUTCOME_NOT_RUN, err.Error())
	}
	att.Finish(false)
	a.watch.broke(ctx, err)
	if a.opts.Quarantine.State(quarantine.Fingerprint(m.GetFingerprint())) != quarantine.Clean {
		out.news = a.news()
	}
	return out.end(pb.Outcome_OUTCOME_BROKEN, err.Error())
}

func callOf(m *pb.ExecuteRequest) engine.Call {
	call := engine.Call{
		RequestID: m.GetAttempt().GetRequestId(),
		Method:    m.GetMethod(),
		Path:      m.GetPath(),
		Body:      m.GetBody(),
		Priority:  m.GetPriority(),
		Resume:    m.GetResumeOffset(),
	}
	for _, h := range m.GetHeaders() {
		call.Headers = append(call.Headers, engine.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return call
}
