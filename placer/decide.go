package placer

import (
	"context"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
)

// hexBase is the number base of a map's hash in its Ref.
const hexBase = 16

// needsEpoch reports whether, for outsideRounds consecutive rounds, the engines
// have not all run in one epoch.
func (p *Placer) needsEpoch(snap mapswitch.Snapshot, reports map[mapswitch.Rank]Report) bool {
	epoch, _ := latestStep(reports)
	same := epoch > 0 && snap.Epoch == epoch
	for _, r := range reports {
		same = same && r.Epoch == epoch
	}
	if same {
		p.roundsOutside = 0
		return false
	}
	p.roundsOutside++
	return p.roundsOutside >= outsideRounds
}

// requestEpoch requests a new epoch of all ranks, unless one was requested
// recently. The epoch starts with the newest map that an engine reported, or else
// with the static map, under a version higher than those of the record and of all
// engines.
func (p *Placer) requestEpoch(ctx context.Context, reports map[mapswitch.Rank]Report) {
	if p.epochRequested && p.roundsWaited < epochTimeoutRounds {
		return
	}
	version, err := p.recordVersion(ctx)
	if err != nil {
		klog.Warningf("placement: group %s can't request a new epoch: %v", p.cfg.Group.Name, err)
		return
	}
	content, ok := p.newestMap(reports)
	if !ok {
		if content, err = expertmap.Static(p.shape); err != nil {
			klog.Errorf("placement: group %s: cannot build a static map: %v", p.cfg.Group.Name, err)
			return
		}
	}
	var members mapswitch.RankSet
	for rank, r := range reports {
		members = members.With(rank)
		version = max(version, r.InForce.Version)
	}
	m := p.assignVersion(version, content)
	p.epochRequested = true
	klog.Infof("placement: group %s: new epoch of %d ranks requested with map %d %s, since an engine is in no epoch or in another one",
		p.cfg.Group.Name, members.Len(), m.Version, m.Hash)
	if err := p.deps.Switch.SetTargetMembers(members, m); err != nil {
		klog.Warningf("placement: group %s: %v", p.cfg.Group.Name, err)
	}
}

func (p *Placer) recordVersion(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.CollectTimeout)
	defer cancel()
	rec, _, err := p.deps.Records.Read(ctx)
	if err != nil {
		return 0, &RecordReadError{Group: p.cfg.Group.Name, Cause: err}
	}
	return rec.Map.Version, nil
}

// assignVersion assigns the next version to a map and records the map as
// requested.
func (p *Placer) assignVersion(atLeast uint64, content expertmap.Map) mapswitch.Map {
	ref := mapswitch.Ref{Version: max(atLeast, p.requestedMap.Version) + 1, Hash: strconv.FormatUint(content.Hash(), hexBase)}
	p.requestedMap, p.requestedAt, p.roundsWaited = ref, time.Now(), 0
	return mapswitch.Map{Ref: ref, Data: string(content.Marshal())}
}

// newestMap returns the newest map whose content an engine has reported.
func (p *Placer) newestMap(reports map[mapswitch.Rank]Report) (expertmap.Map, bool) {
	var newest uint64
	var content expertmap.Map
	for _, r := range reports {
		if len(r.Map) == 0 || r.InForce.Version <= newest {
			continue
		}
		m, err := expertmap.Unmarshal(r.Map)
		if err != nil || m.Shape() != p.shape {
			klog.Warningf("placement: group %s: map %d is invalid or has another shape, error %v", p.cfg.Group.Name, r.InForce.Version, err)
			continue
		}
		newest, content = r.InForce.Version, m
	}
	return content, newest > 0
}

// decide runs the policy, unless a requested map is still pending, and requests
// the new map if the policy decides to change.
func (p *Placer) decide(snap mapswitch.Snapshot, reports map[mapswitch.Rank]Report) {
	inForce, ok := p.newestMap(reports)
	if !ok || p.estimator == nil || !sameMapInForce(snap, reports) {
		return
	}
	in := p.input(inForce, reports)
	p.state.Skew = placement.Skew(inForce, in.Loads, in.Ranks)
	if p.requestedMap.Hash != "" && p.roundsWaited < switchTimeoutRounds {
		return
	}
	d, err := p.policy.Decide(in)
	if err != nil {
		klog.Warningf("placement: group %s: policy failed for map %d: %v", p.cfg.Group.Name, snap.Map.Version, err)
		return
	}
	if !d.Change {
		p.logNoChange(d)
		return
	}
	m := p.assignVersion(snap.Map.Version, d.Map)
	p.lastReason = d.Reason
	p.state.Changes++
	p.state.Moves += int64(len(d.Moves))
	p.state.Bytes += d.After.Bytes
	klog.Infof("placement: group %s, epoch %d: change from map %d to %d requested, token %d: %s", p.cfg.Group.Name, snap.Epoch, snap.Map.Version, m.Version, p.token, d)
	if err := p.deps.Switch.SetTargetMap(m); err != nil {
		klog.Warningf("placement: group %s: %v", p.cfg.Group.Name, err)
	}
}

// logNoChange logs a decision not to change the map, if its reason differs from
// that of the previous decision.
func (p *Placer) logNoChange(d placement.Decision) {
	if d.Reason == p.lastReason {
		return
	}
	p.lastReason = d.Reason
	klog.Infof("placement: group %s, no change of map, token %d: %s", p.cfg.Group.Name, p.token, d)
}

// sameMapInForce reports whether all engines have the node's map in force.
func sameMapInForce(snap mapswitch.Snapshot, reports map[mapswitch.Rank]Report) bool {
	for _, r := range reports {
		if r.InForce != snap.Map {
			return false
		}
	}
	return true
}

func (p *Placer) input(inForce expertmap.Map, reports map[mapswitch.Rank]Report) placement.Input {
	loaded := inForce.Edit()
	for rank, r := range reports {
		for i, e := range r.Loaded {
			if i < p.shape.Layers*p.shape.Slots {
				loaded.Set(i/p.shape.Slots, int(rank), i%p.shape.Slots, e)
			}
		}
	}
	in := placement.Input{
		InForce: inForce, Loaded: loaded.Map(), Loads: p.estimator.Estimates(),
		Store: placement.WeightStore{BytesPerSecond: p.cfg.StoreBytesPerSecond},
	}
	for _, fd := range p.cfg.FailureDomains {
		in.Ranks = append(in.Ranks, placement.Rank{FailureDomain: fd})
	}
	return in
}
