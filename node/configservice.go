package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/rollout"
	"github.com/cyclamenpoint/cyclamenpoint/strictyaml"
)

// acceptTimeout bounds the time to store an accepted configuration durably.
const acceptTimeout = 10 * time.Second

// GetConfig implements NodeService. It returns the configuration in force at
// this node, and who proposed it if the table can be read.
func (s *service) GetConfig(ctx context.Context, _ *connect.Request[pb.GetConfigRequest]) (*connect.Response[pb.GetConfigResponse], error) {
	snap := s.core.holder.Current()
	if snap == nil {
		return connect.NewResponse(&pb.GetConfigResponse{}), nil
	}
	resp := &pb.GetConfigResponse{
		Version: snap.Version, Hash: snap.Hash, Text: snap.Text, Operator: "an operator that only the table names",
		AgeMillis: time.Since(snap.InForceSince).Milliseconds(),
	}
	if version, err := s.core.registry.Version(ctx, snap.Version); err == nil {
		resp.Operator = version.Who
	}
	return connect.NewResponse(resp), nil
}

// ApplyConfig implements NodeService. It checks a configuration and proposes it
// as the next version.
func (s *service) ApplyConfig(ctx context.Context, req *connect.Request[pb.ApplyConfigRequest]) (*connect.Response[pb.ApplyConfigResponse], error) {
	d, err := deployment.Parse("configuration", req.Msg.GetText())
	var faults *strictyaml.FaultsError
	if errors.As(err, &faults) {
		return connect.NewResponse(&pb.ApplyConfigResponse{Faults: faultTexts(faults)}), nil
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	body, err := d.Canonical()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	// The proposal continues after the operator's connection is lost.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acceptTimeout)
	defer cancel()
	version, err := s.core.registry.Accept(ctx, rollout.Proposal{
		BasedOn: req.Msg.GetBasedOn(), Body: body, Who: req.Msg.GetOperator(), ID: newUniqueID(),
	})
	if err == nil {
		klog.Infof("config: version %d, hash %.12s, was accepted from %s.", version.Number, version.Hash, version.Who)
		s.core.follower.Observe(version.Digest)
		return connect.NewResponse(&pb.ApplyConfigResponse{Accepted: true, Version: version.Number, Hash: version.Hash}), nil
	}
	klog.Warningf("config: a proposal of %s based on version %d was not accepted: %s.", req.Msg.GetOperator(), req.Msg.GetBasedOn(), err)
	return connect.NewResponse(s.rejection(ctx, err)), nil
}

func faultTexts(e *strictyaml.FaultsError) []string {
	texts := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		texts = append(texts, f.String())
	}
	return texts
}

// rejection returns the answer to a proposal for which Accept returned err. A
// conflict names the version that was accepted instead. After another error it may
// be unknown whether the proposal was accepted; the error's text states it.
func (s *service) rejection(ctx context.Context, err error) *pb.ApplyConfigResponse {
	var conflict rollout.ConflictError
	if !errors.As(err, &conflict) {
		return &pb.ApplyConfigResponse{Unavailable: err.Error()}
	}
	winner := conflict.Winner
	resp := &pb.ApplyConfigResponse{Conflict: &pb.ConfigConflict{Version: winner.Number, Hash: winner.Hash, Operator: winner.Who}}
	if body, bodyErr := s.core.registry.Body(ctx, winner.Digest); bodyErr == nil {
		resp.Conflict.Text = body
	}
	return resp
}
