package dispatch

import (
	"encoding/json"

	"github.com/cyclamenpoint/cyclamenpoint/decision"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
)

// suspect turns a quarantined request away, and pins a suspect one to its trial
// endpoint.
func (d *Dispatcher) suspect(req *Request) *problem.Problem {
	fp := quarantine.Fingerprint(req.Fingerprint)
	switch d.suspects.State(fp) {
	case quarantine.Quarantined:
		d.decisions.Add(decision.Quarantine, req.ID, "turned away: content %s is quarantined.", fp)
		return newProblem(problem.Quarantined, req, "endpoints crashed each time they ran this content")
	case quarantine.Suspect:
		req.PinnedEndpoint = d.suspects.TrialEndpoint(fp, d.router.Available(req.ServingEndpoints))
		req.news = encode(d.suspects.Facts())
		d.decisions.Add(decision.Quarantine, req.ID, "content %s is suspect and runs at endpoint %s only.", fp, req.PinnedEndpoint)
	default:
		req.PinnedEndpoint = req.reclaim
		req.news = nil
	}
	return nil
}

// hear takes what an agent knows of crashes.
func (d *Dispatcher) hear(req *Request, result Result) {
	if len(result.News) == 0 {
		return
	}
	var news quarantine.Facts
	if err := json.Unmarshal(result.News, &news); err != nil {
		d.decisions.Add(decision.Quarantine, req.ID, "an agent's news cannot be read: %s.", err)
		return
	}
	d.suspects.Merge(news)
}

func encode(news quarantine.Facts) []byte {
	text, err := json.Marshal(news)
	if err != nil {
		// Strings and numbers always encode.
		panic(err)
	}
	return text
}
