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

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/gossip"
)

const (
	// quickTimeout bounds an agent's answer to a want that takes no work; one
	// that is slower has stopped or is cut off.
	quickTimeout = 300 * time.Millisecond
	// reportLag is how old an engine's report on itself may be when it is asked
	// from another VM, by the platform's description of its engines, with room.
	reportLag = 350 * time.Millisecond
)

// peers reaches agents over HTTP. It implements Ranks. Where an agent does not
// answer, it gives orders to the engine itself, which takes longer: an engine's
// report is old when it is asked from another VM.
type peers struct {
	client    *http.Client
	addresses []string
	endpoints []string
	direct    func(address string) Engine
	log       *slog.Logger
	// self is the own rank, whose engine keeper has.
	self   int
	keeper *Reconciler

	mu sync.Mutex
	// silent are the ranks whose agents did not answer.
	silent map[int]bool
}

// Size implements Ranks.
func (p *peers) Size() int { return len(p.addresses) }

// Ensure implements Ranks.
func (p *peers) Ensure(ctx context.Context, rank int, w Goal) (State, error) {
	if rank == p.self {
		return p.keeper.Ensure(ctx, w)
	}
	if p.isSilent(rank) {
		return p.ensureDirect(ctx, rank, w)
	}
	state, err := p.ask(ctx, rank, w)
	if err == nil || isFinal(err) || errors.As(err, new(*GoalError)) || !w.quick() || ctx.Err() != nil {
		return state, err
	}
	p.setSilent(rank, err)
	return p.ensureDirect(ctx, rank, w)
}

// quick tells whether an agent answers the want at once.
func (w Goal) quick() bool { return w.Kind == GoalNone || w.Kind == GoalFenced }

func (p *peers) isSilent(rank int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[rank]
}

func (p *peers) setSilent(rank int, err error) {
	p.log.Warn("agent does not answer, its engine gets orders from here", "rank", rank, "agent", p.addresses[rank], "error", err.Error())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent == nil {
		p.silent = make(map[int]bool)
	}
	p.silent[rank] = true
}

// Hold implements Ranks.
func (p *peers) Hold(ctx context.Context, rank int, o Order) error {
	return p.direct(p.endpoints[rank]).Order(ctx, o)
}

// EndHold implements Ranks.
func (p *peers) EndHold(ctx context.Context, gate int) error {
	var answer endAnswer
	if err := p.call(ctx, gate, endPath, nil, &answer); err != nil {
		return err
	}
	if answer.Failure != "" {
		return &GoalError{Detail: answer.Failure}
	}
	return nil
}

// ask sends a want to the agent of a rank.
func (p *peers) ask(ctx context.Context, rank int, w Goal) (State, error) {
	if w.quick() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, quickTimeout)
		defer cancel()
	}
	body, err := json.Marshal(w)
	if err != nil {
		return State{}, errors.WithStack(err)
	}
	var answer wantAnswer
	if err := p.call(ctx, rank, wantPath, body, &answer); err != nil {
		return State{}, err
	}
	return answer.State, answer.Failure.decode()
}

// ensureDirect brings a want about without the agent. It is safe only because
// engines refuse orders with older tokens: the agent that does not answer may
// wake and go on.
func (p *peers) ensureDirect(ctx context.Context, rank int, w Goal) (State, error) {
	k := &Reconciler{engine: p.direct(p.endpoints[rank]), lag: reportLag}
	return k.Ensure(ctx, w)
}

// inForce assembles the map in force from all ranks.
func (p *peers) inForce(ctx context.Context, shape expertmap.Shape) (expertmap.Map, error) {
	m, err := expertmap.New(shape)
	if err != nil {
		return m, err
	}
	draft, version := m.Edit(), uint64(0)
	for rank := range p.addresses {
		answer, err := p.experts(ctx, rank)
		if err != nil {
			return m, err
		}
		if rank > 0 && answer.Version != version {
			return m, &MixedMapsError{First: version, Other: answer.Version}
		}
		version = answer.Version
		if err := fill(draft, shape, rank, answer.Experts); err != nil {
			return m, err
		}
	}
	return draft.Map(), nil
}

// experts asks for the experts that a rank holds in the map in force.
func (p *peers) experts(ctx context.Context, rank int) (expertsAnswer, error) {
	var answer expertsAnswer
	if !p.isSilent(rank) {
		quick, cancel := context.WithTimeout(ctx, quickTimeout)
		defer cancel()
		err := p.call(quick, rank, expertsPath, nil, &answer)
		if err == nil {
			return answer, nil
		}
		p.setSilent(rank, err)
	}
	var err error
	answer.Version, answer.Experts, err = p.direct(p.endpoints[rank]).Experts(ctx)
	return answer, err
}

// fill puts a rank's experts into a draft.
func fill(draft *expertmap.Draft, shape expertmap.Shape, rank int, experts [][]expertmap.Expert) error {
	if len(experts) != shape.Layers {
		return &ShapeError{Field: "layers", Got: len(experts), Want: shape.Layers}
	}
	for layer, held := range experts {
		if len(held) > shape.Slots {
			return &ShapeError{Field: "experts of a layer", Got: len(held), Want: shape.Slots}
		}
		for slot, e := range held {
			draft.Set(layer, rank, slot, e)
		}
	}
	return nil
}

func (p *peers) call(ctx context.Context, rank int, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.addresses[rank]+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &gossip.PeerError{Peer: p.addresses[rank], Status: resp.StatusCode}
	}
	return errors.WithStack(json.NewDecoder(io.LimitReader(resp.Body, maxWant)).Decode(out))
}
