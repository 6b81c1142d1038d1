package node

import (
	"context"

	"connectrpc.com/connect"

	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/quota"
)

// peerService implements the calls of other processes.
type peerService struct {
	core *core
}

// HeldConfig implements PeerService. It returns the digest of the newest
// configuration that this process holds.
func (s *peerService) HeldConfig(context.Context, *connect.Request[pb.HeldConfigRequest]) (*connect.Response[pb.HeldConfigResponse], error) {
	status := s.core.follower.Status()
	return connect.NewResponse(&pb.HeldConfigResponse{
		Held:        &pb.ConfigDigest{Number: status.Held.Number, Hash: status.Held.Hash},
		Ready:       status.Ready == nil,
		Incarnation: s.core.members.Self().Incarnation,
	}), nil
}

// FetchConfig implements PeerService. It returns the body of a configuration if
// this process holds it.
func (s *peerService) FetchConfig(_ context.Context, req *connect.Request[pb.FetchConfigRequest]) (*connect.Response[pb.FetchConfigResponse], error) {
	body, found := s.core.follower.Body(digestOf(req.Msg.GetDigest()))
	return connect.NewResponse(&pb.FetchConfigResponse{Found: found, Body: body}), nil
}

// ReportDemand implements PeerService. It stores an entry node's demand and
// returns that of the other entry nodes for the same organisations.
func (s *peerService) ReportDemand(_ context.Context, req *connect.Request[pb.ReportDemandRequest]) (*connect.Response[pb.ReportDemandResponse], error) {
	m := req.Msg
	usage := make(map[string]quota.Usage, len(m.GetDemands()))
	for _, d := range m.GetDemands() {
		usage[d.GetOrganisation()] = quota.Usage{Requests: d.GetRequests(), Tokens: d.GetTokens(), Concurrent: d.GetConcurrent()}
	}
	s.core.demandSums.Put(quota.Report{Entry: m.GetEntry(), Incarnation: m.GetIncarnation(), Number: m.GetNumber(), Usage: usage})
	others := s.core.demandSums.Others(m.GetEntry())
	resp := &pb.ReportDemandResponse{}
	for name := range usage {
		if u, ok := others[name]; ok {
			resp.Others = append(resp.Others, demandOf(name, u))
		}
	}
	return connect.NewResponse(resp), nil
}

func demandOf(organisation string, u quota.Usage) *pb.Demand {
	return &pb.Demand{Organisation: organisation, Requests: u.Requests, Tokens: u.Tokens, Concurrent: u.Concurrent}
}
