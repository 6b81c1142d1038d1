package agent

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/attempt"
	"github.com/cyclamenpoint/cyclamenpoint/claim"
	"github.com/cyclamenpoint/cyclamenpoint/decision"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/engine"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// Claims decides which protected requests may run. Its errors are those of
// claim.Ledger.
type Claims interface {
	Begin(ctx context.Context, c claim.Claim) (claim.Decision, error)
	Start(t claim.Token) error
	Finish(t claim.Token, answer claim.Answer) error
	Abandon(t claim.Token, reason string) error
	MarkUnknown(t claim.Token, reason string) error
}

// runProtected runs a request that must run at most once in the deployment, or
// replays the answer of its earlier run.
func (a *Agent) runProtected(ctx context.Context, out *sender, m *pb.ExecuteRequest, att *attempt.Attempt) error {
	dec, err := a.beginClaim(ctx, m)
	if err != nil {
		att.Withdraw()
		return a.refuseUnclaimed(out, m, err)
	}
	if dec.Replay != nil {
		att.Finish(true)
		a.recordClaimDecision(m, "replaying the answer of an earlier run.")
		return replay(out, dec.Replay)
	}
	token := *dec.Run
	if err := a.opts.Claims.Start(token); err != nil {
		att.Withdraw()
		a.abandon(m, token, "the claim was made too long ago")
		return a.refuse(out, m, pb.RefusalReason_REFUSAL_REASON_STORE_DOWN, 0)
	}
	a.recordClaimDecision(m, "claimed, runs here.")
	return a.runClaimed(ctx, out, m, att, token)
}

// Limits of the retries for a key that is in flight at another endpoint.
const (
	inFlightRetryInterval = 100 * time.Millisecond
	maxClaimAttempts      = 10
)

// beginClaim claims the request. While the key is in flight at another endpoint
// it tries up to maxClaimAttempts times, since the answer of the other run is
// usually available shortly afterwards.
func (a *Agent) beginClaim(ctx context.Context, m *pb.ExecuteRequest) (claim.Decision, error) {
	c := a.claimOf(m)
	for try := 1; ; try++ {
		dec, err := a.opts.Claims.Begin(ctx, c)
		var inFlight claim.InFlightError
		if try == maxClaimAttempts || !errors.As(err, &inFlight) {
			return dec, err
		}
		timer := time.NewTimer(inFlightRetryInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return dec, err
		}
	}
}

// runClaimed calls the endpoint and records the outcome of the claim. The call
// continues after the caller has disconnected, because its outcome must be
// recorded.
func (a *Agent) runClaimed(ctx context.Context, out *sender, m *pb.ExecuteRequest, att *attempt.Attempt, token claim.Token) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claim.DefaultMaxRun)
	defer cancel()
	out.recording = &answerRecord{}
	err := a.client.Run(ctx, engineCall(m), out)
	if err == nil {
		att.Finish(true)
		return a.finishClaim(out, m, token)
	}
	var notStarted *engine.NotStartedError
	if errors.As(err, &notStarted) {
		att.Withdraw()
		a.abandon(m, token, err.Error())
		return out.end(pb.Outcome_OUTCOME_NOT_RUN, err.Error())
	}
	att.Finish(false)
	a.recordClaimDecision(m, "the outcome is unknown: %s.", err)
	if markErr := a.opts.Claims.MarkUnknown(token, err.Error()); markErr != nil {
		a.recordClaimDecision(m, "cannot mark the outcome as unknown: %s.", markErr)
	}
	a.monitor.checkAfterFailure(ctx, err)
	return out.end(pb.Outcome_OUTCOME_UNKNOWN, err.Error())
}

// finishClaim stores the answer for replay and ends the stream.
func (a *Agent) finishClaim(out *sender, m *pb.ExecuteRequest, token claim.Token) error {
	if err := a.opts.Claims.Finish(token, out.recording.toClaimAnswer()); err != nil {
		a.recordClaimDecision(m, "cannot store the answer: %s.", err)
		return out.end(pb.Outcome_OUTCOME_UNKNOWN, err.Error())
	}
	a.recordClaimDecision(m, "answered completely.")
	return out.end(pb.Outcome_OUTCOME_DONE, "")
}

// abandon frees the claim of a request that did not run.
func (a *Agent) abandon(m *pb.ExecuteRequest, token claim.Token, reason string) {
	a.recordClaimDecision(m, "abandoned: %s.", reason)
	if err := a.opts.Claims.Abandon(token, reason); err != nil {
		a.recordClaimDecision(m, "cannot free the claim: %s.", err)
	}
}

// recordClaimDecision records a decision on a claim.
func (a *Agent) recordClaimDecision(m *pb.ExecuteRequest, format string, args ...any) {
	prefix := []any{m.GetIdempotencyKey(), a.opts.Endpoint}
	a.opts.Decisions.Add(decision.Claim, m.GetAttempt().GetRequestId(), "key %q at endpoint %s: "+format, append(prefix, args...)...)
}

// claimOf returns the claim of a protected request. Its route excludes the
// query, so that the same key with another query is the same claim. The
// fingerprint covers the query.
func (a *Agent) claimOf(m *pb.ExecuteRequest) claim.Claim {
	path, _, _ := strings.Cut(m.GetPath(), "?")
	return claim.Claim{
		Organisation: m.GetOrganisation(),
		Route:        m.GetService() + " " + m.GetMethod() + " " + path,
		Key:          m.GetIdempotencyKey(),
		Fingerprint:  m.GetFingerprint(),
		KeepAnswer:   a.keepAnswer(m.GetService(), m.GetMethod(), path),
	}
}

// keepAnswer returns how long the answer of a route is stored for replay.
func (a *Agent) keepAnswer(service, method, path string) time.Duration {
	if route := a.route(service, method, path); route != nil && route.KeepAnswerSeconds > 0 {
		return time.Duration(route.KeepAnswerSeconds) * time.Second
	}
	return deployment.DefaultKeepAnswerSeconds * time.Second
}

// route returns a route of the configuration in force at this agent, or nil.
func (a *Agent) route(service, method, path string) *deployment.Route {
	snap := a.opts.Config.Current()
	if snap == nil {
		return nil
	}
	s := snap.Deployment.Service(service)
	if s == nil {
		return nil
	}
	return s.Route(method, path)
}

// lacksProtection reports whether a request was sent without protection although
// it must run at most once according to this agent's configuration. The entry
// node then has an older configuration.
func (a *Agent) lacksProtection(m *pb.ExecuteRequest) bool {
	path, _, _ := strings.Cut(m.GetPath(), "?")
	route := a.route(m.GetService(), m.GetMethod(), path)
	return !m.GetProtected() && route != nil && route.Repeat == deployment.RepeatNever
}

// refuseUnclaimed refuses a request that could not be claimed. It did not run.
func (a *Agent) refuseUnclaimed(out *sender, m *pb.ExecuteRequest, err error) error {
	a.recordClaimDecision(m, "not claimed: %s.", err)
	return a.refuse(out, m, claimRefusal(err), 0)
}

// claimRefusal returns the reason sent to the entry node for an error of
// Claims.Begin.
func claimRefusal(err error) pb.RefusalReason {
	var conflict claim.KeyConflictError
	var inFlight claim.InFlightError
	var unknown claim.UnknownOutcomeError
	var unreadable claim.UnreadableError
	var gone claim.AnswerGoneError
	var limitReached claim.OpenLimitError
	var closed claim.ClosedError
	switch {
	case errors.As(err, &conflict):
		return pb.RefusalReason_REFUSAL_REASON_KEY_CONFLICT
	case errors.As(err, &inFlight):
		return pb.RefusalReason_REFUSAL_REASON_KEY_IN_FLIGHT
	case errors.As(err, &unknown), errors.As(err, &unreadable):
		return pb.RefusalReason_REFUSAL_REASON_CLAIM_UNKNOWN
	case errors.As(err, &gone):
		return pb.RefusalReason_REFUSAL_REASON_ANSWER_GONE
	case errors.As(err, &limitReached):
		return pb.RefusalReason_REFUSAL_REASON_QUEUE_FULL
	case errors.As(err, &closed):
		return pb.RefusalReason_REFUSAL_REASON_DRAINING
	default:
		return pb.RefusalReason_REFUSAL_REASON_STORE_DOWN
	}
}

// toClaimAnswer returns the answer in the form that is stored for replay.
func (r *answerRecord) toClaimAnswer() claim.Answer {
	stored := claim.Answer{Status: int(r.head.GetStatus()), Body: r.body}
	for _, h := range r.head.GetHeaders() {
		stored.Headers = append(stored.Headers, claim.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return stored
}

// replay sends a stored answer.
func replay(out *sender, stored *claim.Answer) error {
	headers := make([]engine.Header, 0, len(stored.Headers))
	for _, h := range stored.Headers {
		headers = append(headers, engine.Header{Name: h.Name, Value: h.Value})
	}
	if err := out.Head(stored.Status, headers); err != nil {
		return err
	}
	if err := out.Data(stored.Body, 0); err != nil {
		return err
	}
	return out.endReplay()
}
