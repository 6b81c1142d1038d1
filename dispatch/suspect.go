package dispatch

import (
	"encoding/json"

	"github.com/cyclamenpoint/cyclamenpoint/decision"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
)

// checkQuarantine rejects a request with quarantined content and pins one with suspect
// content to its trial endpoint.
func (d *Dispatcher) checkQuarantine(req *Request) *problem.Problem {
	fp := quarantine.Fingerprint(req.Fingerprint)
	switch d.suspects.State(fp) {
	case quarantine.Quarantined:
		d.decisions.Add(decision.Quarantine, req.ID, "rejected: content %s is quarantined.", fp)
		return newProblem(problem.Quarantined, req, "endpoints crashed each time they ran this content")
	case quarantine.Suspect:
		req.PinnedEndpoint = d.suspects.TrialEndpoint(fp, d.router.Available(req.ServingEndpoints))
		req.quarantineFacts = encodeFacts(d.suspects.Facts())
		d.decisions.Add(decision.Quarantine, req.ID, "content %s is suspect and runs at endpoint %s only.", fp, req.PinnedEndpoint)
	default:
		req.PinnedEndpoint = req.reclaimEndpoint
		req.quarantineFacts = nil
	}
	return nil
}

// mergeFacts merges an agent's quarantine facts into those of this node.
func (d *Dispatcher) mergeFacts(req *Request, result Result) {
	if len(result.News) == 0 {
		return
	}
	var facts quarantine.Facts
	if err := json.Unmarshal(result.News, &facts); err != nil {
		d.decisions.Add(decision.Quarantine, req.ID, "quarantine facts from an agent cannot be decoded: %s.", err)
		return
	}
	d.suspects.Merge(facts)
}

// encodeFacts encodes quarantine facts for an agent.
func encodeFacts(facts quarantine.Facts) []byte {
	text, err := json.Marshal(facts)
	if err != nil {
		// Facts hold only strings and numbers, which can always be encoded.
		panic(err)
	}
	return text
}
