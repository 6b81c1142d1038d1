package node

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/membership"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
)

// service implements the operators' calls.
type service struct {
	cyclamenpointv1connect.UnimplementedNodeServiceHandler

	core     *core
	inFlight func() int
	// groups returns the state of the node's rank group; nil for an entry node.
	groups func() []*pb.GroupStatus
}

// Status implements NodeService. It describes this node and the members in its
// membership list.
func (s *service) Status(context.Context, *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	c := s.core
	reason := c.Ready()
	resp := &pb.StatusResponse{
		Node:           c.settings.Name,
		Role:           c.role,
		FailureDomain:  c.settings.FailureDomain,
		Incarnation:    c.members.Self().Incarnation,
		InFlight:       uint32(s.inFlight()),
		Ready:          reason == "",
		NotReadyReason: reason,
	}
	if snap := c.holder.Current(); snap != nil {
		resp.ConfigVersion = snap.Version
		resp.ConfigHash = snap.Hash
		resp.ConfigAgeMillis = time.Since(snap.InForceSince).Milliseconds()
	}
	if s.groups != nil {
		resp.Groups = s.groups()
	}
	configs := c.configPeers.items()
	for _, m := range c.members.Members() {
		resp.Nodes = append(resp.Nodes, &pb.NodeStatus{
			Name: m.Name, Role: roleNames[m.Kind], State: stateOf(m), Incarnation: m.Incarnation,
			ConfigVersion: configs[m.Name].Digest.Number,
		})
	}
	return connect.NewResponse(resp), nil
}

// roleNames holds the names of the kinds of process.
var roleNames = map[membership.Kind]string{membership.KindEntry: "entry", membership.KindAgent: "agent"}

func stateOf(m membership.Member) string {
	if m.Leaving {
		return "leaving"
	}
	return m.Health.String()
}

// Explain implements NodeService. It returns the decisions that this node made
// on a request.
func (s *service) Explain(_ context.Context, req *connect.Request[pb.ExplainRequest]) (*connect.Response[pb.ExplainResponse], error) {
	resp := &pb.ExplainResponse{}
	for _, e := range s.core.decisions.ForRequest(req.Msg.GetRequestId()) {
		resp.Decisions = append(resp.Decisions, &pb.Decision{
			AgeMillis: time.Since(e.At).Milliseconds(), Part: string(e.Component), Text: e.Text, Node: s.core.settings.Name,
		})
	}
	return connect.NewResponse(resp), nil
}

// ListQuarantine implements NodeService. It returns the suspect and quarantined
// contents.
func (s *service) ListQuarantine(context.Context, *connect.Request[pb.ListQuarantineRequest]) (*connect.Response[pb.ListQuarantineResponse], error) {
	resp := &pb.ListQuarantineResponse{}
	for _, e := range s.core.suspects.Entries() {
		resp.Entries = append(resp.Entries, &pb.QuarantineStatus{
			Fingerprint: string(e.Fingerprint), State: e.State.String(),
			Crashes: uint32(len(e.Crashes)), ExpiresMillis: e.Remaining.Milliseconds(),
		})
	}
	return connect.NewResponse(resp), nil
}

// ClearQuarantine implements NodeService. It clears a content of all its
// crashes.
func (s *service) ClearQuarantine(_ context.Context, req *connect.Request[pb.ClearQuarantineRequest]) (*connect.Response[pb.ClearQuarantineResponse], error) {
	err := s.core.suspects.Clear(quarantine.Fingerprint(req.Msg.GetFingerprint()), req.Msg.GetOperator())
	return connect.NewResponse(&pb.ClearQuarantineResponse{Found: err == nil}), nil
}
