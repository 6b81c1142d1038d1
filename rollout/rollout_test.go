package rollout

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// Targets of the brief for an entry's start.
const (
	targetStartTable = 2 * time.Second
	targetStartPeers = 5 * time.Second
)

// site is a deployment for a focused test.
type site struct {
	*world
	t        *testing.T
	store    *tablestandin.Store
	registry *Registry
}

// virtually runs a test in virtual time with size nodes that have version 1 in
// force.
func virtually(t *testing.T, size int, f func(s *site)) {
	synctest.Test(t, func(t *testing.T) {
		store := tablestandin.New()
		s := &site{world: newWorld(store, size), t: t, store: store}
		s.registry = NewRegistry(store, s.objects)
		s.accept(0, "first")
		for i := range size {
			s.start(i, nil)
		}
		time.Sleep(targetInForce)
		s.inForce(1)
		f(s)
		for _, n := range s.hub.nodes {
			n.stop()
		}
		time.Sleep(time.Minute)
	})
}

// propose hands a body over.
func (s *site) propose(basedOn uint64, body string, change func(*Proposal)) (Version, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	p := Proposal{BasedOn: basedOn, Body: []byte(body), Who: "who " + body, ID: "id " + body}
	if change != nil {
		change(&p)
	}
	return s.registry.Accept(ctx, p)
}

// accept hands a body over that has to be accepted.
func (s *site) accept(basedOn uint64, body string) Version {
	v, err := s.propose(basedOn, body, nil)
	assert.NilError(s.t, err)
	assert.Equal(s.t, v.Number, basedOn+1)
	return v
}

// inForce checks the version of all nodes but the excepted ones.
func (s *site) inForce(number uint64, except ...int) {
	s.t.Helper()
	for i, n := range s.hub.nodes {
		if len(except) > 0 && except[0] == i {
			continue
		}
		status := n.follower.Status()
		assert.Equal(s.t, status.InForce.Number, number, "node %d: %+v", i, status)
		assert.NilError(s.t, status.Ready)
	}
}

// replace restarts a node as a new process.
func (s *site) replace(i int) *Follower {
	s.hub.nodes[i].stop()
	return s.start(i, nil).follower
}

func TestRaceNamesTheWinner(t *testing.T) {
	virtually(t, 1, func(s *site) {
		winner := s.accept(1, "second")
		_, err := s.propose(1, "third", nil)
		assert.DeepEqual(t, err, ConflictError{BasedOn: 1, Winner: winner})
		same, err := s.propose(2, "second", nil)
		assert.NilError(t, err)
		assert.Equal(t, same, winner, "nothing changes")
	})
}

func TestLostAnswersOfAccept(t *testing.T) {
	virtually(t, 1, func(s *site) {
		s.store.DropNextAnswers(1)
		s.accept(1, "second")
		s.store.SetFaults(tablestandin.Faults{LateWrites: time.Second})
		s.accept(2, "third")
		s.store.SetFaults(tablestandin.Faults{LateWrites: time.Minute})
		_, err := s.propose(3, "fourth", nil)
		assert.ErrorType(t, err, UnknownOutcomeError{})
		time.Sleep(time.Minute)
		s.store.SetFaults(tablestandin.Faults{})
		v := s.accept(3, "fourth")
		s.accept(4, "fifth")
		again, err := s.propose(3, "fourth", nil)
		assert.NilError(t, err)
		assert.Equal(t, again, v, "accepted, though another one followed")
		s.store.SetFaults(tablestandin.Faults{Down: true})
		_, err = s.propose(5, "sixth", nil)
		assert.ErrorType(t, err, NotAcceptedError{})
	})
}

func TestStartInAnOutageOfTheTable(t *testing.T) {
	virtually(t, 5, func(s *site) {
		s.accept(1, "second")
		time.Sleep(targetInForce)
		s.store.SetFaults(tablestandin.Faults{Down: true})
		follower := s.replace(0)
		time.Sleep(targetStartPeers)
		s.inForce(2)
		assert.Equal(t, follower.Status().Source, SourcePeers)
		s.hub.split(0b11)
		follower = s.replace(0)
		time.Sleep(time.Hour)
		assert.DeepEqual(t, follower.Ready(), NotReadyError{Reason: ReasonLatestUnknown})
		s.inForce(2, 0)
		s.hub.split(0)
		time.Sleep(targetStartPeers)
		s.inForce(2)
	})
}

// TestStartAmongOlderPeers restarts a node that had version 2 in force where it
// hears only nodes that missed it, in an outage of the table.
func TestStartAmongOlderPeers(t *testing.T) {
	virtually(t, 5, func(s *site) {
		s.hub.nodes[3].stop()
		s.hub.nodes[4].stop()
		old := s.store.Snapshot()
		s.accept(1, "second")
		time.Sleep(targetInForce)
		s.hub.split(0b11000)
		present := s.store.Snapshot()
		s.store.Restore(old)
		s.start(3, nil)
		s.start(4, nil)
		time.Sleep(targetInForce)
		assert.Equal(t, s.hub.nodes[3].follower.Status().InForce.Number, uint64(1))
		s.store.Restore(present)
		s.store.SetFaults(tablestandin.Faults{Down: true})
		s.hub.split(0b11001)
		follower := s.replace(0)
		time.Sleep(time.Minute)
		assert.DeepEqual(t, follower.Ready(), NotReadyError{Reason: ReasonLatestUnknown})
		s.hub.split(0)
		time.Sleep(targetStartPeers)
		s.inForce(2)
	})
}

func TestAllReplacedInAnOutageOfTheTable(t *testing.T) {
	virtually(t, 5, func(s *site) {
		s.store.SetFaults(tablestandin.Faults{Down: true})
		for i := range 5 {
			s.replace(i)
		}
		time.Sleep(time.Hour)
		for _, n := range s.hub.nodes {
			assert.DeepEqual(t, n.follower.Ready(), NotReadyError{Reason: ReasonLatestUnknown})
		}
		s.store.SetFaults(tablestandin.Faults{})
		time.Sleep(targetStartPeers)
		s.inForce(1)
	})
}

func TestStartWithTheTable(t *testing.T) {
	virtually(t, 5, func(s *site) {
		s.hub.split(1)
		follower := s.replace(0)
		time.Sleep(targetStartTable)
		assert.NilError(t, follower.Ready(), "the table alone is enough")
		assert.Equal(t, follower.Status().Source, SourceTable)
	})
}

func TestRestoredTableTakesNothingBack(t *testing.T) {
	virtually(t, 5, func(s *site) {
		old := s.store.Snapshot()
		s.accept(1, "second")
		time.Sleep(targetInForce)
		s.store.Restore(old)
		s.replace(0)
		time.Sleep(time.Minute)
		s.inForce(2)
		_, err := s.propose(2, "third", nil)
		assert.DeepEqual(t, err, TableBehindError{Table: 1, Known: 2})
		v, err := s.propose(2, "third", func(p *Proposal) { p.TableRestored = true })
		assert.NilError(t, err)
		assert.Equal(t, v.Number, uint64(3))
		time.Sleep(targetInForce)
		s.inForce(3)
	})
}

func TestUnusableVersionIsRefusedWhole(t *testing.T) {
	virtually(t, 3, func(s *site) {
		s.hub.nodes[0].stop()
		s.start(0, func(n *node) {
			n.unusable = func(body []byte) error {
				if strings.Contains(string(body), "unusable") {
					return lostError{}
				}
				return nil
			}
		})
		time.Sleep(targetInForce)
		s.accept(1, "unusable")
		time.Sleep(targetInForce)
		status := s.hub.nodes[0].follower.Status()
		assert.Equal(t, status.InForce.Number, uint64(1))
		assert.Equal(t, status.Refused.Number, uint64(2))
		assert.DeepEqual(t, status.Fault, lostError{})
		s.inForce(2, 0)
		s.accept(2, "usable")
		time.Sleep(targetInForce)
		s.inForce(3)
	})
}

func TestRegionsApartStillChange(t *testing.T) {
	virtually(t, 4, func(s *site) {
		s.hub.split(0b0011)
		time.Sleep(10 * time.Second)
		s.accept(1, "second")
		begun := time.Now()
		follower := s.hub.nodes[0].follower
		for follower.Status().Held.Number < 2 && time.Since(begun) < targetInForce {
			time.Sleep(messageDelay)
		}
		time.Sleep(DefaultSettle / 2)
		assert.Equal(t, follower.Status().InForce.Number, uint64(1), "half of the nodes are no majority")
		time.Sleep(targetInForce - time.Since(begun))
		s.inForce(2)
	})
}

func TestReadsStayWithinTheBudget(t *testing.T) {
	const targetReads = 300
	for _, members := range []int{1, 21, 950, 5000} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			// A node reads after three quarters of the interval at the earliest.
			shortest := pollInterval(members, DefaultReadsPerSecond, DefaultMinPollInterval) * 3 / 4
			assert.Assert(t, float64(members)/shortest.Seconds() <= targetReads)
		})
	}
}

// TestChecksumGuardsBodies has a peer give another body.
func TestChecksumGuardsBodies(t *testing.T) {
	d := Digest{Number: 1, Hash: HashOf([]byte("a"))}
	assert.NilError(t, verify(d, []byte("a")))
	assert.ErrorType(t, verify(d, []byte("b")), BadBodyError{})
}

// Check that the client and the stand-in are what the package asks for.
var (
	_ Table = (*table.Client)(nil)
	_ Table = (*tablestandin.Store)(nil)
)
