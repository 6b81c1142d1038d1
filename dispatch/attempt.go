package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/agentconn"
	"github.com/cyclamenpoint/cyclamenpoint/engine"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// attempt runs one attempt and settles what became of it.
func (d *Dispatcher) attempt(ctx context.Context, req *Request, number uint32, target Target, delivery *delivery) Result {
	id := &pb.AttemptId{RequestId: req.ID, Number: number}
	delivery.startAttempt()
	run := &attemptRun{delivery: delivery}
	err := d.agents.Execute(ctx, target.Agent, message(ctx, req, id, target, delivery.tokens), run.take)
	if err == nil {
		return run.result
	}
	var sinkErr *engine.SinkError
	if errors.As(err, &sinkErr) || ctx.Err() != nil {
		return Result{State: CallerGone, Detail: err.Error()}
	}
	return d.settle(id, target, err)
}

// settle asks the agent whether an attempt whose frames stopped can be proved
// not to have run.
func (d *Dispatcher) settle(id *pb.AttemptId, target Target, cause error) Result {
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

func message(ctx context.Context, req *Request, id *pb.AttemptId, target Target, tokens int64) *pb.ExecuteRequest {
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
		News:            req.news,
	}
}

// attemptRun turns the frames of one attempt into a delivery and a result.
type attemptRun struct {
	delivery *delivery
	result   Result
}

// take handles one frame; it is an agentconn.FrameFunc.
func (a *attemptRun) take(f *pb.ExecuteResponse) (bool, error) {
	switch frame := f.GetFrame().(type) {
	case *pb.ExecuteResponse_Head:
		a.delivery.setHead(frame.Head)
	case *pb.ExecuteResponse_Data:
		return a.data(frame.Data)
	case *pb.ExecuteResponse_End:
		return a.end(frame.End)
	case *pb.ExecuteResponse_Refused:
		a.refused(frame.Refused)
		return true, nil
	}
	return false, nil
}

func (a *attemptRun) data(d *pb.AttemptData) (bool, error) {
	if d.GetOffset() != a.delivery.received {
		a.result = Result{State: Broken, Detail: "a piece of the answer is missing"}
		return true, nil
	}
	if !a.delivery.continues() {
		a.result = Result{State: Broken, Detail: "the endpoint did not resume the stream"}
		return true, nil
	}
	if err := a.delivery.add(d); err != nil {
		return false, &engine.SinkError{Cause: err}
	}
	return false, nil
}

func (a *attemptRun) end(e *pb.AttemptEnd) (bool, error) {
	switch {
	case e.GetOutcome() != pb.Outcome_OUTCOME_DONE:
		a.result = Result{State: stateOf(e.GetOutcome()), Detail: e.GetDetail(), News: e.GetNews()}
	case !a.delivery.continues():
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

func (a *attemptRun) refused(r *pb.AttemptRefused) {
	a.result = Result{
		State:      NotRun,
		Refusal:    r.GetReason(),
		Detail:     refusalText(r.GetReason()),
		RetryAfter: time.Duration(r.GetRetryAfterMillis()) * time.Millisecond,
		Load:       r.GetLoad(),
		News:       r.GetNews(),
	}
}

// Interface check: the pool of connections carries the attempts.
var _ Agents = (*agentconn.Pool)(nil)
