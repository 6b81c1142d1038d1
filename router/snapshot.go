package router

import (
	"context"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// view returns the picker's snapshot and the deployment behind it. It builds a
// new one when the configuration or an endpoint's state changed, or when the
// old one has aged.
func (r *Router) view() (*picker.Snapshot, *deployment.Deployment) {
	current := r.opts.Config.Current()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snapshot == nil || r.config != current || now.Sub(r.built) > snapshotEvery {
		r.snapshot = r.build(current.Deployment, current.Version, now)
		r.config = current
		r.built = now
	}
	return r.snapshot, r.config.Deployment
}

// build makes a snapshot; the caller holds the lock.
func (r *Router) build(d *deployment.Deployment, version uint64, now time.Time) *picker.Snapshot {
	states := r.opts.Members.States()
	for name, since := range r.suspects {
		if now.Sub(since) > suspectFor {
			delete(r.suspects, name)
			continue
		}
		state := states[name]
		state.Health = max(state.Health, picker.HealthSuspect)
		states[name] = state
	}
	snap := picker.NewSnapshot(d, version, r.opts.View, states, now)
	return snap.WithHints(r.hints(d, snap, now), now)
}

// hints returns the remembered load reports by the snapshot's positions.
func (r *Router) hints(d *deployment.Deployment, snap *picker.Snapshot, now time.Time) []picker.Load {
	hints := make([]picker.Load, snap.Len())
	for name, known := range r.known {
		i, ok := snap.Index(name)
		if !ok || d.Endpoint(name) == nil || now.Sub(known.at) > maxKnown {
			delete(r.known, name)
			continue
		}
		hints[i] = loadOf(known.load, known.at)
	}
	return hints
}

func loadOf(load *pb.ProbeResponse, at time.Time) picker.Load {
	return picker.Load{
		Queued:   int(load.GetQueued()),
		Running:  int(load.GetRunning()),
		Slots:    int(load.GetSlots()),
		Wait:     time.Duration(load.GetWaitMillis()) * time.Millisecond,
		Matched:  int(load.GetMatched()),
		Draining: load.GetDraining() || load.GetDown(),
		At:       at,
	}
}

// answer is one candidate's answer to a probe; load is nil without one.
type answer struct {
	candidate int
	load      *pb.ProbeResponse
}

// probe asks all candidates at once and fills in the answers that come in
// time: all of them, or those within enoughWait of the first.
func (r *Router) probe(ctx context.Context, wait time.Duration, snap *picker.Snapshot, d *deployment.Deployment, query *picker.Request, cands []picker.Candidate) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	hashes := make([]uint64, 0, len(query.Prefixes))
	for _, p := range query.Prefixes {
		hashes = append(hashes, p.Hash)
	}
	answers := make(chan answer, len(cands))
	for i, c := range cands {
		e := d.Endpoint(snap.Name(c.Index))
		go func() {
			load, err := r.opts.Prober.Probe(ctx, e.Agent, &pb.ProbeRequest{Endpoint: e.Name, Prefixes: hashes})
			if err != nil {
				load = nil
			}
			answers <- answer{candidate: i, load: load}
		}()
	}
	r.collect(ctx, snap, cands, answers)
}

func (r *Router) collect(ctx context.Context, snap *picker.Snapshot, cands []picker.Candidate, answers <-chan answer) {
	var enough <-chan time.Time
	for range cands {
		select {
		case a := <-answers:
			if a.load == nil {
				continue
			}
			r.learnLoad(snap.Name(cands[a.candidate].Index), a.load)
			cands[a.candidate].Answered = true
			cands[a.candidate].Load = loadOf(a.load, time.Now())
			if enough == nil {
				enough = time.After(enoughWait)
			}
		case <-enough:
			return
		case <-ctx.Done():
			return
		}
	}
}
