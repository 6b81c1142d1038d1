// Package rpc transports the queries and reports of package placer between the
// agents of a rank group.
package rpc

import (
	"context"
	"fmt"
	"sync"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/engine"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
	"github.com/cyclamenpoint/cyclamenpoint/placer"
)

// noWindow is the number before that of the first window.
const noWindow = -1

// WrongRankError is returned for a query that is addressed to another rank or
// group.
type WrongRankError struct {
	Group string
	Rank  uint32
}

// Error implements error.
func (e *WrongRankError) Error() string {
	return fmt.Sprintf("a query for rank %d of group %q reached another agent", e.Rank, e.Group)
}

// StaleTokenError is returned for a query whose token is lower than that of an
// earlier query.
type StaleTokenError struct{ Token, Newest uint64 }

// Error implements error.
func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("token %d is older than %d", e.Token, e.Newest)
}

// CoordinatorStatus is the latest status that the group's coordinator has sent.
type CoordinatorStatus struct {
	Token       uint64
	Coordinator string
	Skew        float64
}

// Experts reads an engine's report, including the windows after the given one.
type Experts interface {
	Experts(ctx context.Context, after int64) (engine.ExpertReport, error)
}

// Server serves PlacementService for one engine. It is safe for concurrent use.
type Server struct {
	group  string
	rank   uint32
	engine Experts

	mu          sync.Mutex
	coordinator CoordinatorStatus
}

var _ cyclamenpointv1connect.PlacementServiceHandler = (*Server)(nil)

// NewServer returns the server for an engine.
func NewServer(group string, rank mapswitch.Rank, e Experts) *Server {
	return &Server{group: group, rank: uint32(rank), engine: e}
}

// CoordinatorStatus returns the latest status from the coordinator with the
// highest token.
func (s *Server) CoordinatorStatus() CoordinatorStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coordinator
}

// Collect implements PlacementServiceHandler. It returns CodeInvalidArgument for a
// query that is addressed to another agent, CodeFailedPrecondition for a stale
// token, and CodeUnavailable if the engine does not respond.
func (s *Server) Collect(ctx context.Context, req *connect.Request[pb.CollectRequest]) (*connect.Response[pb.CollectResponse], error) {
	q := req.Msg
	if q.Group != s.group || q.Rank != s.rank {
		return nil, connect.NewError(connect.CodeInvalidArgument, &WrongRankError{q.Group, q.Rank})
	}
	if err := s.recordCoordinator(q); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	e, err := s.engine.Experts(ctx, q.AfterWindow)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(newResponse(q, e)), nil
}

func (s *Server) recordCoordinator(q *pb.CollectRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Token < s.coordinator.Token {
		return &StaleTokenError{q.Token, s.coordinator.Token}
	}
	s.coordinator = CoordinatorStatus{Token: q.Token, Coordinator: q.Coordinator, Skew: q.Skew}
	return nil
}

func newResponse(q *pb.CollectRequest, e engine.ExpertReport) *pb.CollectResponse {
	resp := &pb.CollectResponse{
		Engine: e.Engine, Epoch: e.Epoch, Step: e.Step,
		InForce: &pb.MapRef{Version: e.InForce.Version, Hash: e.InForce.Hash},
	}
	if q.Map {
		resp.Map = e.Map
	}
	for _, expert := range e.Loaded {
		resp.Loaded = append(resp.Loaded, uint32(expert))
	}
	if !q.Counts {
		return resp
	}
	for _, w := range e.Windows {
		if w.Epoch == e.Epoch {
			resp.Windows = append(resp.Windows, &pb.ExpertWindow{Window: w.Window, Counts: w.Counts})
		}
	}
	return resp
}

// Source fetches reports from the agents of one group. It implements
// placer.Source.
type Source struct {
	group   string
	name    string
	clients map[mapswitch.Rank]cyclamenpointv1connect.PlacementServiceClient
}

var _ placer.Source = (*Source)(nil)

// NewSource returns a Source that queries each rank at its base URL. The name of
// this process is sent as the coordinator's name.
func NewSource(group, name string, client connect.HTTPClient, urls map[mapswitch.Rank]string) *Source {
	s := &Source{group: group, name: name, clients: make(map[mapswitch.Rank]cyclamenpointv1connect.PlacementServiceClient)}
	for r, url := range urls {
		s.clients[r] = cyclamenpointv1connect.NewPlacementServiceClient(client, url)
	}
	return s
}

// Report implements placer.Source.
func (s *Source) Report(ctx context.Context, rank mapswitch.Rank, q placer.Query) (placer.Report, error) {
	client, ok := s.clients[rank]
	if !ok {
		return placer.Report{}, &WrongRankError{s.group, uint32(rank)}
	}
	resp, err := client.Collect(ctx, connect.NewRequest(&pb.CollectRequest{
		Group: s.group, Rank: uint32(rank), Token: q.Token, Coordinator: s.name, Skew: q.Skew,
		Counts: q.Counts, AfterWindow: max(q.After, noWindow), Map: q.Map,
	}))
	if err != nil {
		return placer.Report{}, errors.Wrapf(err, "collect from rank %d", rank)
	}
	return decodeReport(resp.Msg), nil
}

func decodeReport(m *pb.CollectResponse) placer.Report {
	r := placer.Report{
		Engine: m.Engine, Epoch: m.Epoch, Step: m.Step, Map: m.Map,
		InForce: mapswitch.Ref{Version: m.InForce.GetVersion(), Hash: m.InForce.GetHash()},
	}
	for _, expert := range m.Loaded {
		r.Loaded = append(r.Loaded, expertmap.Expert(expert))
	}
	for _, w := range m.Windows {
		r.Windows = append(r.Windows, placer.Window{Window: w.Window, Counts: w.Counts})
	}
	return r
}
