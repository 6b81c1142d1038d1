package rankgroup

import (
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// cachedMaps is the number of maps that an agent keeps: the one in force, the one
// being prepared, and one that was dropped.
const cachedMaps = 3

// mapCache holds the latest maps that an agent has received, by version, so that a
// leader has to send only what changes. The zero value is empty and ready for use.
// It is safe for concurrent use.
type mapCache struct {
	mu       sync.Mutex
	versions []uint64
	maps     map[uint64]expertmap.Map
}

// add stores a map and drops the oldest one if there are too many.
func (c *mapCache) add(version uint64, m expertmap.Map) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.maps == nil {
		c.maps = make(map[uint64]expertmap.Map)
	}
	if _, ok := c.maps[version]; !ok {
		c.versions = append(c.versions, version)
	}
	c.maps[version] = m
	if len(c.versions) > cachedMaps {
		delete(c.maps, c.versions[0])
		c.versions = c.versions[1:]
	}
}

// base returns the map against which changes with the given base are encoded. Base
// zero is the map with which a group forms. Every agent knows it.
func (c *mapCache) base(version uint64, shape expertmap.Shape) (expertmap.Map, error) {
	if version == 0 {
		return expertmap.InTurn(shape)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.maps[version]
	if !ok || m.Shape() != shape {
		return expertmap.Map{}, &UnknownBaseError{Version: version}
	}
	return m, nil
}

// resolve replaces the change of a goal by the whole map.
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
	c.add(goal.Version, m)
	goal.Map = m.Marshal()
	return goal, nil
}

// withChange returns a goal with the change of its map against a base instead of the
// whole map.
func (goal Goal) withChange(baseVersion uint64, base, m expertmap.Map) (Goal, error) {
	change, err := expertmap.MarshalChange(base, m)
	if err != nil {
		return goal, errors.WithStack(err)
	}
	goal.Map, goal.Base, goal.Change, goal.Shape = nil, baseVersion, change, m.Shape()
	return goal, nil
}

// UnknownBaseError is returned when an agent does not have the map that a change
// refers to, for example since it has restarted.
type UnknownBaseError struct{ Version uint64 }

// Error implements error.
func (e *UnknownBaseError) Error() string {
	return "map " + strconv.FormatUint(e.Version, 10) + ", to which the change refers, is unknown"
}
