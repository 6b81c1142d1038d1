package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/claim"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// claims returns the administration of the claims in the table.
func (s *service) claims() *claim.Admin {
	return claim.NewAdmin(s.core.table, claim.DefaultMaxRun)
}

// ListClaims implements NodeService. It returns the open claims.
func (s *service) ListClaims(ctx context.Context, _ *connect.Request[pb.ListClaimsRequest]) (*connect.Response[pb.ListClaimsResponse], error) {
	open, err := s.claims().List(ctx)
	if err != nil {
		return nil, claimError(err)
	}
	resp := &pb.ListClaimsResponse{}
	for _, c := range open {
		resp.Claims = append(resp.Claims, &pb.ClaimStatus{
			Organisation: c.Organisation, Route: c.Route, Key: c.Key, State: string(c.State),
			Endpoint: c.Runner, Row: c.Row, Since: c.Since.UTC().Format(time.RFC3339),
		})
	}
	return connect.NewResponse(resp), nil
}

// ResolveClaim implements NodeService. It records an operator's verdict on a
// claim of unknown outcome.
func (s *service) ResolveClaim(ctx context.Context, req *connect.Request[pb.ResolveClaimRequest]) (*connect.Response[pb.ResolveClaimResponse], error) {
	verdict := claim.VerdictNotRun
	if req.Msg.GetRan() {
		verdict = claim.VerdictRan
	}
	if err := s.claims().Resolve(ctx, req.Msg.GetRow(), verdict); err != nil {
		return nil, claimError(err)
	}
	klog.Infof("claim: %s was resolved as %s by %s.", req.Msg.GetRow(), verdict, req.Msg.GetOperator())
	return connect.NewResponse(&pb.ResolveClaimResponse{}), nil
}

// RetireEndpoint implements NodeService. It fences an endpoint that will not
// return, so that the outcome of its open claims counts as unknown.
func (s *service) RetireEndpoint(ctx context.Context, req *connect.Request[pb.RetireEndpointRequest]) (*connect.Response[pb.RetireEndpointResponse], error) {
	if err := s.claims().Retire(ctx, req.Msg.GetEndpoint()); err != nil {
		return nil, claimError(err)
	}
	klog.Infof("claim: endpoint %s was retired by %s.", req.Msg.GetEndpoint(), req.Msg.GetOperator())
	return connect.NewResponse(&pb.RetireEndpointResponse{}), nil
}

// claimError returns err with the status code by which clients distinguish it.
func claimError(err error) error {
	var notFound table.NotFoundError
	var notUnknown claim.NotUnknownError
	var tooEarly claim.TooEarlyError
	switch {
	case errors.As(err, &notFound):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.As(err, &notUnknown), errors.As(err, &tooEarly):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}
