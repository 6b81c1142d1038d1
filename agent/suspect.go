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

// trialHere tells whether a suspect content runs at this endpoint.
func (a *Agent) trialHere(fp quarantine.Fingerprint) bool {
	snap := a.opts.Config.Current()
	if snap == nil {
		return false
	}
	alike := a.opts.Available(snap.Deployment.Alike(a.opts.Endpoint))
	return a.opts.Quarantine.TrialEndpoint(fp, alike) == a.opts.Endpoint
}

// hear takes what the entry node knows of crashes.
func (a *Agent) hear(m *pb.ExecuteRequest) {
	if len(m.GetNews()) == 0 {
		return
	}
	var news quarantine.Facts
	if err := json.Unmarshal(m.GetNews(), &news); err != nil {
		a.note(m, "has news that cannot be read: %s.", err)
		return
	}
	a.opts.Quarantine.Merge(news)
}

// news returns what this node knows of crashes, for an entry node.
func (a *Agent) news() []byte {
	text, err := json.Marshal(a.opts.Quarantine.Facts())
	if err != nil {
		// Strings and numbers always encode.
		panic(err)
	}
	return text
}

// enter asks the gate to let the attempt through to the queue. When it does
// not, the attempt is answered and pass is nil.
func (a *Agent) enter(ctx context.Context, out *sender, m *pb.ExecuteRequest, att *attempt.Attempt) (*quarantine.Permit, error) {
	a.hear(m)
	pass, err := a.gate.Enter(ctx, quarantine.Fingerprint(m.GetFingerprint()))
	if err == nil {
		return pass, nil
	}
	if !att.Refuse() {
		return nil, a.refuse(out, m, pb.RefusalReason_REFUSAL_REASON_REVOKED, 0)
	}
	return nil, a.suspected(out, m, err)
}

// suspected refuses an attempt for its content.
func (a *Agent) suspected(out *sender, m *pb.ExecuteRequest, err error) error {
	reason := pb.RefusalReason_REFUSAL_REASON_SUSPECT
	var refused *quarantine.RefusedError
	if errors.As(err, &refused) && refused.Reason == quarantine.ReasonQuarantined {
		reason = pb.RefusalReason_REFUSAL_REASON_QUARANTINED
	}
	a.opts.Decisions.Add(decision.Quarantine, m.GetAttempt().GetRequestId(), "refused at endpoint %s: %s.", a.opts.Endpoint, err)
	return out.refuse(&pb.AttemptRefused{Reason: reason, Incarnation: a.opts.Incarnation, Load: a.Load(), News: a.news()})
}
