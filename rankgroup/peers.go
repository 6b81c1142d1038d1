package rankgroup

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/gossip"
)

const (
	// quickTimeout bounds the answer of an agent to a goal that needs no work.
	// An agent that does not answer within this time has stopped or cannot be
	// reached.
	quickTimeout = 300 * time.Millisecond
	// remoteStateLag is the maximum age of an engine's state when it is read
	// from another VM: the value in the platform's description of its engines,
	// plus a margin.
	remoteStateLag = 350 * time.Millisecond
)

// httpGroupClient calls agents over HTTP. It implements GroupClient. If an
// agent does not answer, it sends orders to the engine directly. That takes
// longer, because an engine's state is up to remoteStateLag old when it is read
// from another VM.
type httpGroupClient struct {
	client     *http.Client
	addresses  []string
	endpoints  []string
	dialEngine func(address string) Engine
	log        *slog.Logger
	// selfRank is the rank of this agent. Goals for its engine go to reconciler.
	selfRank   int
	reconciler *Reconciler

	// base is the normalized map against which changes of maps are encoded: the latest
	// one that the agents have probably received.
	base expertmap.Map

	mu sync.Mutex
	// unresponsive holds the ranks whose agents did not answer.
	unresponsive map[int]bool
}

// Size implements GroupClient.
func (c *httpGroupClient) Size() int { return len(c.addresses) }

// Ensure implements GroupClient. It returns a *WrongRankError if the registered
// address is that of another rank's agent or engine by now.
func (c *httpGroupClient) Ensure(ctx context.Context, rank int, goal Goal) (State, error) {
	state, err := c.ensure(ctx, rank, goal)
	if err == nil && state.Rank != rank {
		return state, &WrongRankError{Want: rank, Got: state.Rank}
	}
	return state, err
}

func (c *httpGroupClient) ensure(ctx context.Context, rank int, goal Goal) (State, error) {
	if rank == c.selfRank {
		return c.reconciler.Ensure(ctx, goal)
	}
	if c.isUnresponsive(rank) {
		return c.ensureDirect(ctx, rank, goal)
	}
	state, err := c.sendGoal(ctx, rank, goal)
	if err == nil || isFinal(err) || errors.As(err, new(*GoalError)) || !goal.isQuick() || ctx.Err() != nil {
		return state, err
	}
	c.markUnresponsive(rank, err)
	return c.ensureDirect(ctx, rank, goal)
}

// isQuick reports whether an agent answers the goal without work.
func (goal Goal) isQuick() bool { return goal.Kind == GoalNone || goal.Kind == GoalFenced }

func (c *httpGroupClient) isUnresponsive(rank int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unresponsive[rank]
}

func (c *httpGroupClient) markUnresponsive(rank int, err error) {
	c.log.Warn("agent does not answer, sending orders to its engine directly", "rank", rank, "agent", c.addresses[rank], "error", err.Error())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unresponsive == nil {
		c.unresponsive = make(map[int]bool)
	}
	c.unresponsive[rank] = true
}

// Hold implements GroupClient.
func (c *httpGroupClient) Hold(ctx context.Context, rank int, o Order) error {
	return c.dialEngine(c.endpoints[rank]).Order(ctx, o)
}

// EndHold implements GroupClient.
func (c *httpGroupClient) EndHold(ctx context.Context, gate int) error {
	var response endHoldResponse
	if err := c.post(ctx, gate, endHoldPath, nil, &response); err != nil {
		return err
	}
	if response.Failure != "" {
		return &GoalError{Detail: response.Failure}
	}
	return nil
}

// sendGoal sends a goal to the agent of a rank. A map is sent as its change, since
// the whole maps of a large group fill the link of the leader's VM for seconds.
func (c *httpGroupClient) sendGoal(ctx context.Context, rank int, goal Goal) (State, error) {
	if goal.Kind != GoalPrepared {
		return c.postGoal(ctx, rank, goal)
	}
	return sendMap(goal, c.base, func(goal Goal) (State, error) { return c.postGoal(ctx, rank, goal) })
}

// postGoal sends an encoded goal to the agent of a rank.
func (c *httpGroupClient) postGoal(ctx context.Context, rank int, goal Goal) (State, error) {
	if goal.isQuick() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, quickTimeout)
		defer cancel()
	}
	body, err := json.Marshal(goal)
	if err != nil {
		return State{}, errors.WithStack(err)
	}
	var response goalResponse
	if err := c.post(ctx, rank, goalPath, body, &response); err != nil {
		return State{}, err
	}
	return response.State, response.Failure.decode()
}

// ensureDirect brings an engine to a goal without its agent. This is safe only
// because engines refuse orders with older tokens: the agent that does not
// answer may resume its work at any time.
func (c *httpGroupClient) ensureDirect(ctx context.Context, rank int, goal Goal) (State, error) {
	r := &Reconciler{engine: c.dialEngine(c.endpoints[rank]), stateLag: remoteStateLag}
	return r.Ensure(ctx, goal)
}

// mapInForce assembles the map in force from the experts of all ranks. It returns a
// *MixedMapsError unless all ranks list the experts of the given version.
func (c *httpGroupClient) mapInForce(ctx context.Context, shape expertmap.Shape, version uint64) (expertmap.Map, error) {
	m, err := expertmap.New(shape)
	if err != nil {
		return m, err
	}
	draft, responses := m.Edit(), make([]expertsResponse, len(c.addresses))
	var calls errgroup.Group
	for rank := range c.addresses {
		calls.Go(func() (err error) {
			responses[rank], err = c.experts(ctx, rank)
			return err
		})
	}
	if err := calls.Wait(); err != nil {
		return m, err
	}
	for rank, response := range responses {
		if response.Version != version {
			return m, &MixedMapsError{First: version, Other: response.Version}
		}
		if err := setExperts(draft, shape, rank, response.Experts); err != nil {
			return m, err
		}
	}
	return draft.Map().Normalize(), nil
}

// experts returns the experts of the map in force that a rank holds.
func (c *httpGroupClient) experts(ctx context.Context, rank int) (expertsResponse, error) {
	var response expertsResponse
	if !c.isUnresponsive(rank) {
		callCtx, cancel := context.WithTimeout(ctx, quickTimeout)
		defer cancel()
		err := c.post(callCtx, rank, expertsPath, nil, &response)
		if err == nil {
			return response, nil
		}
		c.markUnresponsive(rank, err)
	}
	var err error
	response.Version, response.Experts, err = c.dialEngine(c.endpoints[rank]).Experts(ctx)
	return response, err
}

// setExperts puts the experts of a rank into a draft.
func setExperts(draft *expertmap.Draft, shape expertmap.Shape, rank int, experts [][]expertmap.Expert) error {
	if len(experts) != shape.Layers {
		return &ShapeError{Field: "layers", Got: len(experts), Want: shape.Layers}
	}
	for layer, slots := range experts {
		if len(slots) > shape.Slots {
			return &ShapeError{Field: "experts of a layer", Got: len(slots), Want: shape.Slots}
		}
		for slot, e := range slots {
			draft.Set(layer, rank, slot, e)
		}
	}
	return nil
}

func (c *httpGroupClient) post(ctx context.Context, rank int, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addresses[rank]+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &gossip.PeerError{Peer: c.addresses[rank], Status: resp.StatusCode}
	}
	return errors.WithStack(json.NewDecoder(io.LimitReader(resp.Body, maxGoalBytes)).Decode(out))
}
