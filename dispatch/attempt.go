package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/agentconn"
	"github.com/cyclamenpoint/cyclamenpoint/engine"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// attempt runs one attempt and returns its result.
func (d *Dispatcher) attempt(ctx context.Context, req *Request, number uint32, target Target, delivery *delivery) Result {
	id := &pb.AttemptId{RequestId: req.ID, Number: number}
	delivery.startAttempt()
	stream := &attemptStream{delivery: delivery}
	err := d.agents.Execute(ctx, target.Agent, newExecuteRequest(ctx, req, id, target, delivery.tokens), stream.handleFrame)
	if err == nil {
		return stream.result
	}
	var sinkErr *engine.SinkError
	if errors.As(err, &sinkErr) || ctx.Err() != nil {
		return Result{State: CallerGone, Detail: err.Error()}
	}
	return d.resolveBroken(id, target, err)
}

// resolveBroken returns the result of an attempt whose connection to the agent failed.
// It revokes the attempt: the agent's reply may prove that the attempt did not run.
func (d *Dispatcher) resolveBroken(id *pb.AttemptId, target Target, cause error) Result {
	result := Result{State: Unknown, ConnectionLost: true, Detail: cause.Error()}
	resp, err := d.agents.Revoke(context.Background(), target.Agent, &pb.RevokeRequest{
		Attempt: id, Endpoint: target.Endpoint, Incarnation: target.Incarnation, Stamp: target.Stamp,
	})
	if err != nil {
		return result
	}
	if resp.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN {
		result.State = NotRun
	}
	return result
}

// newExecuteRequest builds the message for one attempt. tokens is the number of tokens
// that the caller has already received.
func newExecuteRequest(ctx context.Context, req *Request, id *pb.AttemptId, target Target, tokens int64) *pb.ExecuteRequest {
	headers := make([]*pb.Header, 0, len(req.Headers))
	for _, h := range req.Headers {
		headers = append(headers, &pb.Header{Name: h.Name, Value: h.Value})
	}
	return &pb.ExecuteRequest{
		Attempt:         id,
		Endpoint:        target.Endpoint,
		Organisation:    req.Organisation,
		Model:           req.Model,
		Service:         req.Service,
		Method:          req.Method,
		Path:            req.Path,
		Headers:         headers,
		Body:            req.Body,
		RemainingMillis: timeLeft(ctx).Milliseconds(),
		Priority:        req.Priority,
		ResumeOffset:    tokens,
		Fingerprint:     req.Fingerprint,
		Protected:       req.protected(),
		IdempotencyKey:  req.Key,
		ConfigVersion:   req.ConfigVersion,
		Incarnation:     target.Incarnation,
		Stamp:           target.Stamp,
		Cost:            req.Cost,
		News:            req.quarantineFacts,
	}
}

// attemptStream passes the frames of one attempt to a delivery and derives the result.
type attemptStream struct {
	delivery *delivery
	result   Result
}

// handleFrame handles one frame. It is an agentconn.FrameFunc and returns true after the
// last frame.
func (a *attemptStream) handleFrame(f *pb.ExecuteResponse) (bool, error) {
	switch frame := f.GetFrame().(type) {
	case *pb.ExecuteResponse_Head:
		a.delivery.setHead(frame.Head)
	case *pb.ExecuteResponse_Data:
		return a.handleData(frame.Data)
	case *pb.ExecuteResponse_End:
		return a.handleEnd(frame.End)
	case *pb.ExecuteResponse_Refused:
		a.handleRefusal(frame.Refused)
		return true, nil
	}
	return false, nil
}

func (a *attemptStream) handleData(d *pb.AttemptData) (bool, error) {
	if d.GetOffset() != a.delivery.received {
		a.result = Result{State: Broken, Detail: "a piece of the answer is missing"}
		return true, nil
	}
	if !a.delivery.canContinue() {
		a.result = Result{State: Broken, Detail: "the endpoint did not resume the stream"}
		return true, nil
	}
	if err := a.delivery.addData(d); err != nil {
		return false, &engine.SinkError{Cause: err}
	}
	return false, nil
}

func (a *attemptStream) handleEnd(e *pb.AttemptEnd) (bool, error) {
	switch {
	case e.GetOutcome() != pb.Outcome_OUTCOME_DONE:
		a.result = Result{State: stateOf(e.GetOutcome()), Detail: e.GetDetail(), News: e.GetNews()}
	case !a.delivery.canContinue():
		a.result = Result{State: Broken, Detail: "the endpoint did not resume the stream"}
	case e.GetTotalBytes() != a.delivery.received:
		a.result = Result{State: Broken, Detail: "the answer's length is wrong"}
	default:
		if err := a.delivery.finish(); err != nil {
			return false, &engine.SinkError{Cause: err}
		}
		a.result = Result{State: Done}
	}
	return true, nil
}

func stateOf(o pb.Outcome) State {
	switch o {
	case pb.Outcome_OUTCOME_NOT_RUN:
		return NotRun
	case pb.Outcome_OUTCOME_BROKEN:
		return Broken
	default:
		return Unknown
	}
}

func (a *attemptStream) handleRefusal(r *pb.AttemptRefused) {
	a.result = Result{
		State:      NotRun,
		Refusal:    r.GetReason(),
		Detail:     refusalText(r.GetReason()),
		RetryAfter: time.Duration(r.GetRetryAfterMillis()) * time.Millisecond,
		Load:       r.GetLoad(),
		News:       r.GetNews(),
	}
}

var _ Agents = (*agentconn.Pool)(nil)
