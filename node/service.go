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
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
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
	suspects      *quarantine.List
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

// ListQuarantine implements the operators' call.
func (s *service) ListQuarantine(context.Context, *connect.Request[pb.ListQuarantineRequest]) (*connect.Response[pb.ListQuarantineResponse], error) {
	resp := &pb.ListQuarantineResponse{}
	for _, e := range s.suspects.Entries() {
		resp.Entries = append(resp.Entries, &pb.QuarantineStatus{
			Fingerprint: string(e.Fingerprint), State: e.State.String(),
			Crashes: uint32(len(e.Crashes)), ExpiresMillis: e.Remaining.Milliseconds(),
		})
	}
	return connect.NewResponse(resp), nil
}

// ClearQuarantine implements the operators' call.
func (s *service) ClearQuarantine(_ context.Context, req *connect.Request[pb.ClearQuarantineRequest]) (*connect.Response[pb.ClearQuarantineResponse], error) {
	err := s.suspects.Clear(quarantine.Fingerprint(req.Msg.GetFingerprint()), req.Msg.GetOperator())
	return connect.NewResponse(&pb.ClearQuarantineResponse{Found: err == nil}), nil
}
