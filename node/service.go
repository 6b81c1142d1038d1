package node

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/cyclamenpoint/cyclamenpoint/config"
	"github.com/cyclamenpoint/cyclamenpoint/decision"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
)

// service answers operators.
type service struct {
	cyclamenpointv1connect.UnimplementedNodeServiceHandler

	name          string
	role          string
	failureDomain string
	incarnation   uint64
	holder        *config.Holder
	decisions     *decision.Log
	inFlight      func() int
}

func (s *service) handler() http.Handler { return operatorsMux(s) }

// Status implements the operators' call.
func (s *service) Status(context.Context, *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	resp := &pb.StatusResponse{
		Node:          s.name,
		Role:          s.role,
		FailureDomain: s.failureDomain,
		Incarnation:   s.incarnation,
		InFlight:      uint32(s.inFlight()),
	}
	if snap := s.holder.Current(); snap != nil {
		resp.ConfigVersion = snap.Version
		resp.ConfigHash = snap.Hash
		resp.ConfigAgeMillis = time.Since(snap.Since).Milliseconds()
		resp.Ready = true
	}
	return connect.NewResponse(resp), nil
}

// Explain implements the operators' call.
func (s *service) Explain(_ context.Context, req *connect.Request[pb.ExplainRequest]) (*connect.Response[pb.ExplainResponse], error) {
	resp := &pb.ExplainResponse{}
	for _, e := range s.decisions.Of(req.Msg.GetRequestId()) {
		resp.Decisions = append(resp.Decisions, &pb.Decision{
			AgeMillis: time.Since(e.At).Milliseconds(), Part: string(e.Part), Text: e.Text, Node: s.name,
		})
	}
	return connect.NewResponse(resp), nil
}

// GetConfig implements the operators' call.
func (s *service) GetConfig(context.Context, *connect.Request[pb.GetConfigRequest]) (*connect.Response[pb.GetConfigResponse], error) {
	snap := s.holder.Current()
	if snap == nil {
		return connect.NewResponse(&pb.GetConfigResponse{}), nil
	}
	return connect.NewResponse(&pb.GetConfigResponse{
		Version: snap.Version, Hash: snap.Hash, Text: snap.Text, Operator: snap.Operator,
		AgeMillis: time.Since(snap.Since).Milliseconds(),
	}), nil
}
