package agent

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/attempt"
	"github.com/cyclamenpoint/cyclamenpoint/decision"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
)

// isTrialEndpoint reports whether this endpoint is the only one at which suspect
// content runs.
func (a *Agent) isTrialEndpoint(fp quarantine.Fingerprint) bool {
	snap := a.opts.Config.Current()
	if snap == nil {
		return false
	}
	candidates := a.opts.Available(snap.Deployment.Interchangeable(a.opts.Endpoint))
	return a.opts.Quarantine.TrialEndpoint(fp, candidates) == a.opts.Endpoint
}

// mergeFacts merges the quarantine facts that the entry node sent with an
// attempt.
func (a *Agent) mergeFacts(m *pb.ExecuteRequest) {
	if len(m.GetNews()) == 0 {
		return
	}
	var facts quarantine.Facts
	if err := json.Unmarshal(m.GetNews(), &facts); err != nil {
		a.recordDecision(m, "carries quarantine facts that cannot be decoded: %s.", err)
		return
	}
	a.opts.Quarantine.Merge(facts)
}

// encodeFacts encodes this node's quarantine facts for an entry node.
func (a *Agent) encodeFacts() []byte {
	text, err := json.Marshal(a.opts.Quarantine.Facts())
	if err != nil {
		// Facts hold only strings and numbers, which can always be encoded.
		panic(err)
	}
	return text
}

// enterGate waits until the gate admits the attempt to the queue. If the gate
// refuses it, enterGate answers the attempt and returns no permit.
func (a *Agent) enterGate(ctx context.Context, out *sender, m *pb.ExecuteRequest, att *attempt.Attempt) (*quarantine.Permit, error) {
	a.mergeFacts(m)
	permit, err := a.gate.Enter(ctx, quarantine.Fingerprint(m.GetFingerprint()))
	if err == nil {
		return permit, nil
	}
	if !att.Refuse() {
		return nil, a.refuse(out, m, pb.RefusalReason_REFUSAL_REASON_REVOKED, 0)
	}
	return nil, a.refuseSuspect(out, m, err)
}

// refuseSuspect refuses an attempt whose content is suspect or quarantined.
func (a *Agent) refuseSuspect(out *sender, m *pb.ExecuteRequest, err error) error {
	reason := pb.RefusalReason_REFUSAL_REASON_SUSPECT
	var refused *quarantine.RefusedError
	if errors.As(err, &refused) && refused.Reason == quarantine.ReasonQuarantined {
		reason = pb.RefusalReason_REFUSAL_REASON_QUARANTINED
	}
	a.opts.Decisions.Add(decision.Quarantine, m.GetAttempt().GetRequestId(), "refused at endpoint %s: %s.", a.opts.Endpoint, err)
	return out.refuse(&pb.AttemptRefused{Reason: reason, Incarnation: a.opts.Incarnation, Load: a.Load(), News: a.encodeFacts()})
}
