package placement

import (
	"cmp"
	"slices"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// repair places every expert that no rank holds. It is not weighed against its
// cost: the group cannot step without them. As it does not step, loads may also
// overwrite replicas that the map in force used.
func (s *search) repair() error {
	for layer := range s.group.shape.Layers {
		s.enter(layer)
		orphans := s.layer.orphans()
		if len(orphans) == 0 {
			continue
		}
		s.layer.overwrite = true
		for _, e := range orphans {
			if !s.layer.adopt(e) {
				return &UnservableError{Layer: layer, Expert: e, StoreDown: !s.group.canLoad}
			}
		}
		s.repaired += len(orphans)
		s.put(layer, s.layer.use)
	}
	return nil
}

// orphans returns the experts without a rank, those with the most load first.
func (l *layerState) orphans() []expertmap.Expert {
	var out []expertmap.Expert
	for e, holders := range l.holders {
		if len(holders) == 0 {
			out = append(out, expertmap.Expert(e))
		}
	}
	slices.SortFunc(out, func(a, b expertmap.Expert) int {
		return cmp.Or(cmp.Compare(l.share[b], l.share[a]), cmp.Compare(a, b))
	})
	return out
}

// adopt puts e on the rank where it takes the least time and load: first one
// that has its weights, then the least loaded with a free slot, then the least
// loaded that can give up a replica of another expert.
func (l *layerState) adopt(e expertmap.Expert) bool {
	best, bestCost := -1, 0.0
	for r := range l.shape.Ranks {
		_, cost, ok := l.find(r, e)
		if !l.alive[r] || !ok {
			continue
		}
		if best < 0 || cost < bestCost || cost == bestCost && l.load[r] < l.load[best] {
			best, bestCost = r, cost
		}
	}
	if best < 0 {
		best = l.makeRoom()
	}
	if best < 0 {
		return false
	}
	slot, _, _ := l.find(best, e)
	l.add(best, slot, e)
	return true
}

// makeRoom drops the replica with the least load and returns its rank, or -1 if
// no expert has a replica to spare or nothing can be loaded.
func (l *layerState) makeRoom() int {
	best := -1
	var drop expertmap.Expert
	for r := range l.shape.Ranks {
		for _, b := range l.rank(r) {
			if b == expertmap.Empty || len(l.holders[b]) < 2 || !l.canLoad {
				continue
			}
			if best < 0 || l.each(b) < l.each(drop) {
				best, drop = r, b
			}
		}
	}
	if best >= 0 {
		l.drop(best, drop)
	}
	return best
}
