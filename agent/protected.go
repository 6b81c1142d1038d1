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

// Claims decides which protected requests run. Its errors are those of
// claim.Ledger.
type Claims interface {
	Begin(ctx context.Context, c claim.Claim) (claim.Decision, error)
	Start(t claim.Token) error
	Finish(t claim.Token, answer claim.Answer) error
	Abandon(t claim.Token, reason string) error
	MarkUnknown(t claim.Token, reason string) error
}

// runProtected runs a request at most once in the deployment, or replays the
// answer of its earlier run.
func (a *Agent) runProtected(ctx context.Context, out *sender, m *pb.ExecuteRequest, att *attempt.Attempt) error {
	dec, err := a.begin(ctx, m)
	if err != nil {
		att.Withdraw()
		return a.notClaimed(out, m, err)
	}
	if dec.Replay != nil {
		att.Finish(true)
		a.noteClaim(m, "the answer of an earlier run is replayed.")
		return replay(out, dec.Replay)
	}
	token := *dec.Run
	if err := a.opts.Claims.Start(token); err != nil {
		att.Withdraw()
		a.abandon(m, token, "the claim was made too long ago")
		return a.refuse(out, m, pb.RefusalReason_REFUSAL_REASON_STORE_DOWN, 0)
	}
	a.noteClaim(m, "claimed, it runs here.")
	return a.runClaimed(ctx, out, m, att, token)
}

// Terms of waiting for a key that is in flight at another endpoint.
const (
	inFlightWait = 100 * time.Millisecond
	inFlightAsks = 10
)

// begin asks for the claim. A key that is in flight at another endpoint is
// asked for again a few times, since its answer usually follows at once.
func (a *Agent) begin(ctx context.Context, m *pb.ExecuteRequest) (claim.Decision, error) {
	c := a.claimOf(m)
	for ask := 1; ; ask++ {
		dec, err := a.opts.Claims.Begin(ctx, c)
		var inFlight claim.InFlightError
		if ask == inFlightAsks || !errors.As(err, &inFlight) {
			return dec, err
		}
		timer := time.NewTimer(inFlightWait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return dec, err
		}
	}
}

// runClaimed calls the endpoint. The call goes on when the caller has gone,
// because its answer has to be known.
func (a *Agent) runClaimed(ctx context.Context, out *sender, m *pb.ExecuteRequest, att *attempt.Attempt, token claim.Token) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claim.DefaultMaxRun)
	defer cancel()
	out.keep = &record{}
	err := a.client.Run(ctx, callOf(m), out)
	if err == nil {
		att.Finish(true)
		return a.claimDone(out, m, token)
	}
	var notStarted *engine.NotStartedError
	if errors.As(err, &notStarted) {
		att.Withdraw()
		a.abandon(m, token, err.Error())
		return out.end(pb.Outcome_OUTCOME_NOT_RUN, err.Error())
	}
	att.Finish(false)
	a.noteClaim(m, "the outcome is unknown: %s.", err)
	if markErr := a.opts.Claims.MarkUnknown(token, err.Error()); markErr != nil {
		a.noteClaim(m, "the claim cannot be marked: %s.", markErr)
	}
	a.watch.broke(ctx, err)
	return out.end(pb.Outcome_OUTCOME_UNKNOWN, err.Error())
}

func (a *Agent) claimDone(out *sender, m *pb.ExecuteRequest, token claim.Token) error {
	if err := a.opts.Claims.Finish(token, out.keep.answer()); err != nil {
		a.noteClaim(m, "the answer cannot be kept: %s.", err)
		return out.end(pb.Outcome_OUTCOME_UNKNOWN, err.Error())
	}
	a.noteClaim(m, "answered whole.")
	return out.end(pb.Outcome_OUTCOME_DONE, "")
}

func (a *Agent) abandon(m *pb.ExecuteRequest, token claim.Token, reason string) {
	a.noteClaim(m, "abandoned: %s.", reason)
	if err := a.opts.Claims.Abandon(token, reason); err != nil {
		a.noteClaim(m, "the claim cannot be freed: %s.", err)
	}
}

func (a *Agent) noteClaim(m *pb.ExecuteRequest, format string, args ...any) {
	prefix := []any{m.GetIdempotencyKey(), a.opts.Endpoint}
	a.opts.Decisions.Add(decision.Claim, m.GetAttempt().GetRequestId(), "key %q at endpoint %s: "+format, append(prefix, args...)...)
}

// claimOf names the protected request. The route leaves out the query, so that
// a key stands for one call whatever its query; the fingerprint has it.
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

func (a *Agent) keepAnswer(service, method, path string) time.Duration {
	if route := a.route(service, method, path); route != nil && route.KeepAnswerSeconds > 0 {
		return time.Duration(route.KeepAnswerSeconds) * time.Second
	}
	return deployment.DefaultKeepAnswerSeconds * time.Second
}

// route returns the route in the configuration in force here, or nil.
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

// unprotected tells whether a request that must run at most once here came
// without protection, from an entry node with an older configuration.
func (a *Agent) unprotected(m *pb.ExecuteRequest) bool {
	path, _, _ := strings.Cut(m.GetPath(), "?")
	route := a.route(m.GetService(), m.GetMethod(), path)
	return !m.GetProtected() && route != nil && route.Repeat == deployment.RepeatNever
}

// notClaimed answers a call whose claim was not given: this call did not run.
func (a *Agent) notClaimed(out *sender, m *pb.ExecuteRequest, err error) error {
	a.noteClaim(m, "not claimed: %s.", err)
	return a.refuse(out, m, claimRefusal(err), 0)
}

func claimRefusal(err error) pb.RefusalReason {
	var conflict claim.KeyConflictError
	var inFlight claim.InFlightError
	var unknown claim.UnknownOutcomeError
	var unreadable claim.UnreadableError
	var gone claim.AnswerGoneError
	var full claim.OpenLimitError
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
	case errors.As(err, &full):
		return pb.RefusalReason_REFUSAL_REASON_QUEUE_FULL
	case errors.As(err, &closed):
		return pb.RefusalReason_REFUSAL_REASON_DRAINING
	default:
		return pb.RefusalReason_REFUSAL_REASON_STORE_DOWN
	}
}

// answer returns what is kept for replay.
func (r *record) answer() claim.Answer {
	kept := claim.Answer{Status: int(r.head.GetStatus()), Body: r.body}
	for _, h := range r.head.GetHeaders() {
		kept.Headers = append(kept.Headers, claim.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return kept
}

// replay sends a kept answer.
func replay(out *sender, kept *claim.Answer) error {
	headers := make([]engine.Header, 0, len(kept.Headers))
	for _, h := range kept.Headers {
		headers = append(headers, engine.Header{Name: h.Name, Value: h.Value})
	}
	if err := out.Head(kept.Status, headers); err != nil {
		return err
	}
	if err := out.Data(kept.Body, 0); err != nil {
		return err
	}
	return out.replayed()
}
