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

const hexBase = 16

// mustForm tells whether some engine runs in no epoch, or in another one than
// the rest, and that not only for a moment. While a new epoch is on its way
// nothing more is asked for.
func (p *Placer) mustForm(snap mapswitch.Snapshot, reports map[mapswitch.Rank]Report) bool {
	epoch, _ := newest(reports)
	same := epoch > 0 && snap.Epoch == epoch
	for _, r := range reports {
		same = same && r.Epoch == epoch
	}
	if same {
		p.outside = 0
		return false
	}
	p.outside++
	return p.outside >= confirmRounds
}

// form asks for a new epoch of all ranks. It begins with the newest map that
// an engine still knows, under a version that no record has had.
func (p *Placer) form(ctx context.Context, reports map[mapswitch.Rank]Report) {
	if p.forming && p.waited < formRounds {
		return
	}
	version, err := p.recordVersion(ctx)
	if err != nil {
		klog.Warningf("placement: group %s waits for a new epoch: %v", p.cfg.Group.Name, err)
		return
	}
	content, known := p.newestMap(reports)
	if !known {
		if content, err = expertmap.Static(p.shape); err != nil {
			klog.Errorf("placement: group %s cannot be placed: %v", p.cfg.Group.Name, err)
			return
		}
	}
	var members mapswitch.RankSet
	for rank, r := range reports {
		members = members.With(rank)
		version = max(version, r.InForce.Version)
	}
	m := p.name(version, content)
	p.forming = true
	klog.Infof("placement: group %s needs a new epoch of %d ranks, with map %d %s: an engine runs in none.",
		p.cfg.Group.Name, members.Len(), m.Version, m.Hash)
	if err := p.ports.Switch.SetTargetMembers(members, m); err != nil {
		klog.Warningf("placement: group %s: %v", p.cfg.Group.Name, err)
	}
}

func (p *Placer) recordVersion(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.CollectTimeout)
	defer cancel()
	rec, _, err := p.ports.Records.Read(ctx)
	if err != nil {
		return 0, &RecordReadError{Group: p.cfg.Group.Name, Cause: err}
	}
	return rec.Map.Version, nil
}

// name gives a map the next version and notes it as wanted.
func (p *Placer) name(atLeast uint64, content expertmap.Map) mapswitch.Map {
	ref := mapswitch.Ref{Version: max(atLeast, p.wanted.Version) + 1, Hash: strconv.FormatUint(content.Hash(), hexBase)}
	p.wanted, p.since, p.waited = ref, time.Now(), 0
	return mapswitch.Map{Ref: ref, Data: string(content.Marshal())}
}

// newestMap returns the newest map whose content an engine has sent.
func (p *Placer) newestMap(reports map[mapswitch.Rank]Report) (expertmap.Map, bool) {
	var newest uint64
	var content expertmap.Map
	for _, r := range reports {
		if len(r.Map) == 0 || r.InForce.Version <= newest {
			continue
		}
		m, err := expertmap.Unmarshal(r.Map)
		if err != nil || m.Shape() != p.shape {
			klog.Warningf("placement: group %s map %d cannot be used, error %v", p.cfg.Group.Name, r.InForce.Version, err)
			continue
		}
		newest, content = r.InForce.Version, m
	}
	return content, newest > 0
}

// decide lets the policy decide once no wanted map is on its way.
func (p *Placer) decide(snap mapswitch.Snapshot, reports map[mapswitch.Rank]Report) {
	inForce, known := p.newestMap(reports)
	if !known || p.estimator == nil || !agree(snap, reports) {
		return
	}
	in := p.input(inForce, reports)
	p.now.Skew = placement.Skew(inForce, in.Loads, in.Ranks)
	if p.wanted.Hash != "" && p.waited < patienceRounds {
		return
	}
	d, err := p.policy.Decide(in)
	if err != nil {
		klog.Warningf("placement: group %s map %d was not decided on: %v", p.cfg.Group.Name, snap.Map.Version, err)
		return
	}
	if !d.Change {
		p.hold(d)
		return
	}
	m := p.name(snap.Map.Version, d.Map)
	p.reason = d.Reason
	p.now.Changes++
	p.now.Moves += int64(len(d.Moves))
	p.now.Bytes += d.After.Bytes
	klog.Infof("placement: group %s, epoch %d, map %d to %d, token %d: %s", p.cfg.Group.Name, snap.Epoch, snap.Map.Version, m.Version, p.token, d)
	if err := p.ports.Switch.SetTargetMap(m); err != nil {
		klog.Warningf("placement: group %s: %v", p.cfg.Group.Name, err)
	}
}

// hold logs a decision against a change when its reason is a new one.
func (p *Placer) hold(d placement.Decision) {
	if d.Reason == p.reason {
		return
	}
	p.reason = d.Reason
	klog.Infof("placement: group %s, token %d: %s", p.cfg.Group.Name, p.token, d)
}

// agree tells whether all engines have the same map in force.
func agree(snap mapswitch.Snapshot, reports map[mapswitch.Rank]Report) bool {
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
