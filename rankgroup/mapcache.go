package rankgroup

import (
	"slices"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// cachedMaps is the number of maps that an agent keeps: the one in force, the one
// being prepared, and one that was dropped.
const cachedMaps = 3

// mapCache holds the latest maps that an agent has received, by their hash, so that a
// leader has to send only what changes. Versions do not identify them: a leader that
// reads the map in force from the engines learns its experts, but not in which slots
// the former leader had put them. The zero value is empty and ready for use. It is safe
// for concurrent use.
type mapCache struct {
	mu     sync.Mutex
	hashes []uint64
	maps   map[uint64]expertmap.Map
}

// add stores a normalized map and drops the oldest one if there are too many.
func (c *mapCache) add(hash uint64, m expertmap.Map) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.maps == nil {
		c.maps = make(map[uint64]expertmap.Map)
	}
	c.hashes = append(slices.DeleteFunc(c.hashes, func(h uint64) bool { return h == hash }), hash)
	c.maps[hash] = m
	if len(c.hashes) > cachedMaps {
		delete(c.maps, c.hashes[0])
		c.hashes = c.hashes[1:]
	}
}

// base returns the map against which changes with the given base are encoded. Base
// zero is the map with which a group forms. Every agent knows it.
func (c *mapCache) base(hash uint64, shape expertmap.Shape) (expertmap.Map, error) {
	if hash == 0 {
		return expertmap.InTurn(shape)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.maps[hash]
	if !ok || m.Shape() != shape {
		return expertmap.Map{}, &UnknownBaseError{Hash: hash}
	}
	return m, nil
}

// resolve replaces the change of a goal by the whole map. It returns an
// *UnknownBaseError if the agent does not have the base, and a *MapContentError if the
// result is not the map that the leader has encoded.
func (c *mapCache) resolve(goal Goal) (Goal, error) {
	if goal.Kind != GoalPrepared || goal.Map != nil {
		return goal, nil
	}
	base, err := c.base(goal.Base, goal.Shape)
	if err != nil {
		return goal, err
	}
	m, err := expertmap.UnmarshalChange(base, goal.Change)
	if err != nil {
		return goal, err
	}
	hash := m.Hash()
	if hash != goal.MapHash {
		return goal, &MapContentError{Want: goal.MapHash, Got: hash}
	}
	c.add(hash, m)
	goal.Map = m.Marshal()
	return goal, nil
}

// sendMap sends a goal with a map through send. The map is sent as its change against
// base, or against the map with which a group forms if the agent does not have base.
// Both maps are normalized. A base with no slots stands for none.
func sendMap(goal Goal, base expertmap.Map, send func(Goal) (State, error)) (State, error) {
	m, err := expertmap.Unmarshal(goal.Map)
	if err != nil {
		return State{}, err
	}
	if base.Shape() == m.Shape() {
		state, err := sendChange(goal, base.Hash(), base, m, send)
		if !errors.As(err, new(*UnknownBaseError)) {
			return state, err
		}
	}
	formed, err := expertmap.InTurn(m.Shape())
	if err != nil {
		return State{}, err
	}
	return sendChange(goal, 0, formed, m, send)
}

// sendChange sends a goal with the change of its map against a base instead of the
// whole map.
func sendChange(goal Goal, baseHash uint64, base, m expertmap.Map, send func(Goal) (State, error)) (State, error) {
	change, err := expertmap.MarshalChange(base, m)
	if err != nil {
		return State{}, errors.WithStack(err)
	}
	goal.Map, goal.Base, goal.Change, goal.MapHash, goal.Shape = nil, baseHash, change, m.Hash(), m.Shape()
	return send(goal)
}

// UnknownBaseError is returned when an agent does not have the map that a change
// refers to, for example since it has restarted.
type UnknownBaseError struct{ Hash uint64 }

// Error implements error.
func (e *UnknownBaseError) Error() string {
	return "map with hash " + strconv.FormatUint(e.Hash, 16) + ", to which the change refers, is unknown"
}

// MapContentError is returned when a change results in another map than the one that
// the leader has encoded.
type MapContentError struct{ Want, Got uint64 }

// Error implements error.
func (e *MapContentError) Error() string {
	return "change results in map with hash " + strconv.FormatUint(e.Got, 16) + ", not " + strconv.FormatUint(e.Want, 16)
}
