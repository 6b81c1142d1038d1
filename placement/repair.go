package placement

import (
	"cmp"
	"slices"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// repair places every expert that no rank holds. The cost does not matter,
// because the group cannot step without these experts. For the same reason
// weight loads may overwrite replicas of the map in force.
func (s *search) repair() error {
	for layer := range s.group.shape.Layers {
		s.startLayer(layer)
		uncovered := s.layer.uncovered()
		if len(uncovered) == 0 {
			continue
		}
		s.layer.overwrite = true
		for _, e := range uncovered {
			if !s.layer.placeUncovered(e) {
				return &UnservableError{Layer: layer, Expert: e, StoreDown: !s.group.canLoad}
			}
		}
		s.repaired += len(uncovered)
		s.setLayer(layer, s.layer.use)
	}
	return nil
}

// uncovered returns the experts that no rank holds, by descending load.
func (l *layerState) uncovered() []expertmap.Expert {
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

// placeUncovered puts e on the rank where it causes the least delay and load.
// It prefers a rank that has the weights loaded, then the least loaded rank
// with a free slot, then a rank from which a replica of another expert can be
// removed.
func (l *layerState) placeUncovered(e expertmap.Expert) bool {
	best, bestCost := -1, 0.0
	for r := range l.shape.Ranks {
		_, cost, ok := l.findSlot(r, e)
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
	slot, _, _ := l.findSlot(best, e)
	l.add(best, slot, e)
	return true
}

// makeRoom removes the replica with the least load and returns its rank. It
// returns -1 if every expert has one replica only or nothing can be loaded.
func (l *layerState) makeRoom() int {
	best := -1
	var drop expertmap.Expert
	for r := range l.shape.Ranks {
		for _, b := range l.rankSlots(r) {
			if b == expertmap.Empty || len(l.holders[b]) < 2 || !l.canLoad {
				continue
			}
			if best < 0 || l.perReplica(b) < l.perReplica(drop) {
				best, drop = r, b
			}
		}
	}
	if best >= 0 {
		l.remove(best, drop)
	}
	return best
}
