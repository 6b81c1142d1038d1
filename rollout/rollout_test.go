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

// Targets for the time until a starting node is ready.
const (
	targetStartTable = 2 * time.Second
	targetStartPeers = 5 * time.Second
)

// testDeployment is a deployment with its table and registry, for tests of one behaviour.
type testDeployment struct {
	*deployment
	t        *testing.T
	store    *tablestandin.Store
	registry *Registry
}

// withNodes runs a test in virtual time with size nodes that have version 1 in
// force.
func withNodes(t *testing.T, size int, f func(s *testDeployment)) {
	synctest.Test(t, func(t *testing.T) {
		store := tablestandin.New()
		s := &testDeployment{deployment: newDeployment(store, size), t: t, store: store}
		s.registry = NewRegistry(store, s.objects)
		s.accept(0, "first")
		for i := range size {
			s.start(i, nil)
		}
		time.Sleep(targetInForce)
		s.inForce(1)
		f(s)
		for _, n := range s.network.nodes {
			n.stop()
		}
		time.Sleep(time.Minute)
	})
}

// propose submits a body.
func (s *testDeployment) propose(basedOn uint64, body string, change func(*Proposal)) (Version, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	p := Proposal{BasedOn: basedOn, Body: []byte(body), Who: "who " + body, ID: "id " + body}
	if change != nil {
		change(&p)
	}
	return s.registry.Accept(ctx, p)
}

// accept submits a body and requires that it is accepted.
func (s *testDeployment) accept(basedOn uint64, body string) Version {
	v, err := s.propose(basedOn, body, nil)
	assert.NilError(s.t, err)
	assert.Equal(s.t, v.Number, basedOn+1)
	return v
}

// inForce checks the version in force on all nodes except one.
func (s *testDeployment) inForce(number uint64, except ...int) {
	s.t.Helper()
	for i, n := range s.network.nodes {
		if len(except) > 0 && except[0] == i {
			continue
		}
		status := n.follower.Status()
		assert.Equal(s.t, status.InForce.Number, number, "node %d: %+v", i, status)
		assert.NilError(s.t, status.Ready)
	}
}

// replace replaces a node by a new process.
func (s *testDeployment) replace(i int) *Follower {
	s.network.nodes[i].stop()
	return s.start(i, nil).follower
}

func TestConflictReturnsTheWinner(t *testing.T) {
	withNodes(t, 1, func(s *testDeployment) {
		winner := s.accept(1, "second")
		_, err := s.propose(1, "third", nil)
		assert.DeepEqual(t, err, ConflictError{BasedOn: 1, Winner: winner})
		same, err := s.propose(2, "second", nil)
		assert.NilError(t, err)
		assert.Equal(t, same, winner, "an unchanged body is not a new version")
	})
}

func TestAcceptWithLostResponses(t *testing.T) {
	withNodes(t, 1, func(s *testDeployment) {
		s.store.DropNextAnswers(1)
		s.accept(1, "second")
		s.store.SetFaults(tablestandin.Faults{ApplyDelay: time.Second})
		s.accept(2, "third")
		s.store.SetFaults(tablestandin.Faults{ApplyDelay: time.Minute})
		_, err := s.propose(3, "fourth", nil)
		assert.ErrorType(t, err, UnknownOutcomeError{})
		time.Sleep(time.Minute)
		s.store.SetFaults(tablestandin.Faults{})
		v := s.accept(3, "fourth")
		s.accept(4, "fifth")
		again, err := s.propose(3, "fourth", nil)
		assert.NilError(t, err)
		assert.Equal(t, again, v, "accepted before a later version")
		s.store.SetFaults(tablestandin.Faults{Down: true})
		_, err = s.propose(5, "sixth", nil)
		assert.ErrorType(t, err, NotAcceptedError{})
	})
}

func TestStartDuringTableOutage(t *testing.T) {
	withNodes(t, 5, func(s *testDeployment) {
		s.accept(1, "second")
		time.Sleep(targetInForce)
		s.store.SetFaults(tablestandin.Faults{Down: true})
		follower := s.replace(0)
		time.Sleep(targetStartPeers)
		s.inForce(2)
		assert.Equal(t, follower.Status().Source, SourcePeers)
		s.network.split(0b11)
		follower = s.replace(0)
		time.Sleep(time.Hour)
		assert.DeepEqual(t, follower.Ready(), NotReadyError{Reason: ReasonLatestUnknown})
		s.inForce(2, 0)
		s.network.split(0)
		time.Sleep(targetStartPeers)
		s.inForce(2)
	})
}

// TestStartAmongOlderPeers restarts a node that had version 2 in force during an
// outage of the table. It can reach only nodes that don't have version 2, and must
// not put version 1 in force.
func TestStartAmongOlderPeers(t *testing.T) {
	withNodes(t, 5, func(s *testDeployment) {
		s.network.nodes[3].stop()
		s.network.nodes[4].stop()
		old := s.store.Snapshot()
		s.accept(1, "second")
		time.Sleep(targetInForce)
		s.network.split(0b11000)
		present := s.store.Snapshot()
		s.store.Restore(old)
		s.start(3, nil)
		s.start(4, nil)
		time.Sleep(targetInForce)
		assert.Equal(t, s.network.nodes[3].follower.Status().InForce.Number, uint64(1))
		s.store.Restore(present)
		s.store.SetFaults(tablestandin.Faults{Down: true})
		s.network.split(0b11001)
		follower := s.replace(0)
		time.Sleep(time.Minute)
		assert.DeepEqual(t, follower.Ready(), NotReadyError{Reason: ReasonLatestUnknown})
		s.network.split(0)
		time.Sleep(targetStartPeers)
		s.inForce(2)
	})
}

func TestAllReplacedDuringTableOutage(t *testing.T) {
	withNodes(t, 5, func(s *testDeployment) {
		s.store.SetFaults(tablestandin.Faults{Down: true})
		for i := range 5 {
			s.replace(i)
		}
		time.Sleep(time.Hour)
		for _, n := range s.network.nodes {
			assert.DeepEqual(t, n.follower.Ready(), NotReadyError{Reason: ReasonLatestUnknown})
		}
		s.store.SetFaults(tablestandin.Faults{})
		time.Sleep(targetStartPeers)
		s.inForce(1)
	})
}

func TestStartWithTheTable(t *testing.T) {
	withNodes(t, 5, func(s *testDeployment) {
		s.network.split(1)
		follower := s.replace(0)
		time.Sleep(targetStartTable)
		assert.NilError(t, follower.Ready(), "the table alone is sufficient")
		assert.Equal(t, follower.Status().Source, SourceTable)
	})
}

func TestRestoredTableDoesNotRevertNodes(t *testing.T) {
	withNodes(t, 5, func(s *testDeployment) {
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

func TestInvalidVersionIsRefused(t *testing.T) {
	withNodes(t, 3, func(s *testDeployment) {
		s.network.nodes[0].stop()
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
		status := s.network.nodes[0].follower.Status()
		assert.Equal(t, status.InForce.Number, uint64(1))
		assert.Equal(t, status.Refused.Number, uint64(2))
		assert.DeepEqual(t, status.Fault, lostError{})
		s.inForce(2, 0)
		s.accept(2, "usable")
		time.Sleep(targetInForce)
		s.inForce(3)
	})
}

func TestPartitionedRegionsStillUpdate(t *testing.T) {
	withNodes(t, 4, func(s *testDeployment) {
		s.network.split(0b0011)
		time.Sleep(10 * time.Second)
		s.accept(1, "second")
		begun := time.Now()
		follower := s.network.nodes[0].follower
		for follower.Status().Held.Number < 2 && time.Since(begun) < targetInForce {
			time.Sleep(messageDelay)
		}
		time.Sleep(DefaultSettle / 2)
		assert.Equal(t, follower.Status().InForce.Number, uint64(1), "half of the nodes are not a majority")
		time.Sleep(targetInForce - time.Since(begun))
		s.inForce(2)
	})
}

func TestReadsStayWithinTheBudget(t *testing.T) {
	const targetReads = 300
	for _, members := range []int{1, 21, 950, 5000} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			// Jitter shortens the interval to three quarters at most.
			shortest := pollInterval(members, DefaultReadsPerSecond, DefaultMinPollInterval) * 3 / 4
			assert.Assert(t, float64(members)/shortest.Seconds() <= targetReads)
		})
	}
}

// TestBodyChecksum verifies that a body with another content is rejected.
func TestBodyChecksum(t *testing.T) {
	d := Digest{Number: 1, Hash: HashOf([]byte("a"))}
	assert.NilError(t, verify(d, []byte("a")))
	assert.ErrorType(t, verify(d, []byte("b")), BadBodyError{})
}

// The client and the stand-in implement Table.
var (
	_ Table = (*table.Client)(nil)
	_ Table = (*tablestandin.Store)(nil)
)
