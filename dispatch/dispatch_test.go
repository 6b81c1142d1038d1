package dispatch

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenpoint/cyclamenpoint/agentconn"
	"github.com/cyclamenpoint/cyclamenpoint/decision"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
	"github.com/cyclamenpoint/cyclamenpoint/retry"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes every run test the same cases.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// attemptFault is the fault injected into one attempt.
type attemptFault int

const (
	faultNone attemptFault = iota
	faultRefused
	faultLost         // the connection fails before the attempt reaches the agent; Revoke proves it
	faultLostRunning  // the connection fails while the attempt runs
	faultBroken       // the endpoint fails before its first token
	faultBrokenMidway // the endpoint fails after some tokens
	faultTruncated    // the stated length of the answer is wrong
	faultCount
)

// fakeCluster is a fake of the agents and the router. It records which attempts were
// executed.
type fakeCluster struct {
	faults    []attemptFault
	endpoints int
	stream    bool
	tokens    int

	attempts int
	// executed counts the attempts that reached an endpoint.
	executed int
	// resumedAt holds the offset at which each attempt started.
	resumedAt []int64
}

func (c *fakeCluster) Pick(_ context.Context, req *Request, tried []string) (Target, error) {
	if req.PinnedEndpoint != "" {
		return Target{Endpoint: req.PinnedEndpoint, Agent: req.PinnedEndpoint, CanResume: true}, nil
	}
	if len(tried) >= c.endpoints {
		return Target{}, &noneLeftError{}
	}
	name := fmt.Sprintf("e%d", len(tried))
	return Target{Endpoint: name, Agent: name, CanResume: true}, nil
}

type noneLeftError struct{}

func (*noneLeftError) Error() string { return "no endpoint is left" }

func (c *fakeCluster) Available(endpoints []string) []string    { return endpoints }
func (c *fakeCluster) Record(Target, *pb.ProbeResponse, Result) {}
func (c *fakeCluster) broken(req *pb.ExecuteRequest, cause error) error {
	return &agentconn.BrokenError{Address: req.GetEndpoint(), Cause: cause}
}

func (c *fakeCluster) nextFault() attemptFault {
	f := faultNone
	if c.attempts < len(c.faults) {
		f = c.faults[c.attempts]
	}
	c.attempts++
	return f
}

// Execute runs an attempt with the next fault.
func (c *fakeCluster) Execute(ctx context.Context, _ string, req *pb.ExecuteRequest, handle agentconn.FrameFunc) error {
	f := c.nextFault()
	c.resumedAt = append(c.resumedAt, req.GetResumeOffset())
	switch f {
	case faultRefused:
		_, err := handle(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_Refused{Refused: &pb.AttemptRefused{Reason: pb.RefusalReason_REFUSAL_REASON_QUEUE_FULL}}})
		return err
	case faultLost:
		return c.broken(req, context.DeadlineExceeded)
	case faultLostRunning:
		c.executed++
		return c.broken(req, context.DeadlineExceeded)
	}
	c.executed++
	return c.sendAnswer(f, req, handle)
}

// sendAnswer sends the frames of an attempt that reached its endpoint.
func (c *fakeCluster) sendAnswer(f attemptFault, req *pb.ExecuteRequest, handle agentconn.FrameFunc) error {
	contentType := "application/json"
	if c.stream {
		contentType = "text/event-stream"
	}
	end := &pb.AttemptEnd{Outcome: pb.Outcome_OUTCOME_DONE}
	if f == faultBroken || f == faultBrokenMidway {
		end.Outcome = pb.Outcome_OUTCOME_BROKEN
	}
	if f != faultBroken {
		if _, err := handle(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_Head{Head: &pb.AttemptHead{
			Status: 200, Headers: []*pb.Header{{Name: "Content-Type", Value: contentType}},
		}}}); err != nil {
			return err
		}
		for i := int(req.GetResumeOffset()); i < c.tokens; i++ {
			if f == faultBrokenMidway && i >= c.tokens/2 {
				break
			}
			data := []byte(fmt.Sprintf("t%d ", i))
			frame := &pb.AttemptData{Offset: end.TotalBytes, Data: data, TokenOffset: int64(i + 1)}
			end.TotalBytes += int64(len(data))
			if _, err := handle(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_Data{Data: frame}}); err != nil {
				return err
			}
		}
	}
	if f == faultTruncated {
		end.TotalBytes++
	}
	_, err := handle(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_End{End: end}})
	return err
}

// Revoke replies that an attempt did not run only if it never reached its endpoint.
func (c *fakeCluster) Revoke(context.Context, string, *pb.RevokeRequest) (*pb.RevokeResponse, error) {
	if c.faults[c.attempts-1] == faultLost {
		return &pb.RevokeResponse{Outcome: pb.Outcome_OUTCOME_NOT_RUN}, nil
	}
	return &pb.RevokeResponse{Outcome: pb.Outcome_OUTCOME_UNKNOWN}, nil
}

// callerSink records what the caller received.
type callerSink struct {
	heads int
	text  string
}

func (c *callerSink) Head(int, []*pb.Header, bool) error {
	c.heads++
	return nil
}

func (c *callerSink) Data(data []byte) error {
	c.text += string(data)
	return nil
}

func (c *fakeCluster) completeText() string {
	text := ""
	for i := range c.tokens {
		text += fmt.Sprintf("t%d ", i)
	}
	return text
}

func newTestDispatcher(t rapid.TB, cluster *fakeCluster) *Dispatcher {
	budget, err := retry.NewBudget(retry.BudgetConfig{Ratio: 1, NodeReserve: 10, OrganisationReserve: 10, Organisations: 10})
	assert.NilError(t, err)
	suspects, err := quarantine.NewList(quarantine.Config{Keep: time.Hour, MaxCrashes: 10, MaxClears: 10})
	assert.NilError(t, err)
	policy := retry.Policy{MaxAttempts: 4, BaseBackoff: time.Millisecond, MaxBackoff: time.Second}
	return New(cluster, cluster, policy, budget, suspects, decision.NewLog(16))
}

// violation returns the guarantee that the outcome of a request violates, or "".
func violation(cluster *fakeCluster, req *Request, c *callerSink, p *problem.Problem) string {
	switch {
	case p == nil && c.text != cluster.completeText():
		return "an incomplete answer was reported as complete"
	case p == nil && c.heads != 1:
		return "the answer does not have exactly one head"
	case p != nil && p.Kind.Outcome != problem.Unknown && cluster.executed > 0:
		return "a request that ran was reported as not run"
	case p != nil && !cluster.stream && c.heads > 0:
		return "a part of a buffered answer was sent"
	case req.Repeat == deployment.RepeatUnlessRun && cluster.executed > 1:
		return "a request that may have run was run again"
	default:
		return ""
	}
}

// drawCluster returns a random cluster and a random request.
func drawCluster(t *rapid.T) (*fakeCluster, *Request) {
	cluster := &fakeCluster{
		endpoints: rapid.IntRange(1, 4).Draw(t, "endpoints"),
		stream:    rapid.Bool().Draw(t, "stream"),
		tokens:    rapid.IntRange(1, 6).Draw(t, "tokens"),
	}
	for range 6 {
		cluster.faults = append(cluster.faults, attemptFault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault")))
	}
	req := &Request{ID: "r", Organisation: "o", Fingerprint: "f", Model: "m", Repeat: deployment.RepeatAlways}
	if rapid.Bool().Draw(t, "unless run") {
		req.Repeat = deployment.RepeatUnlessRun
	}
	return cluster, req
}

// TestOutcomesAreTrue injects random faults into attempts and compares what is reported to
// the caller with what was executed.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster, req := drawCluster(t)
		c := &callerSink{}
		p := newTestDispatcher(t, cluster).Do(context.Background(), req, c)
		if violated := violation(cluster, req, c, p); violated != "" {
			t.Fatalf("%s: problem %v, ran %d, text %q", violated, p, cluster.executed, c.text)
		}
	})
}

// TestViolationDetectsFaults checks that the check of each guarantee can fail.
func TestViolationDetectsFaults(t *testing.T) {
	noCapacity := &problem.Problem{Kind: problem.NoCapacity}
	tests := []struct {
		name    string
		cluster fakeCluster
		req     Request
		c       callerSink
		p       *problem.Problem
		want    string
	}{
		{"incomplete answer reported as complete", fakeCluster{tokens: 2}, Request{}, callerSink{heads: 1, text: "t0 "}, nil, "an incomplete answer was reported as complete"},
		{"two heads", fakeCluster{tokens: 1}, Request{}, callerSink{heads: 2, text: "t0 "}, nil, "the answer does not have exactly one head"},
		{"ran but reported as not run", fakeCluster{tokens: 1, executed: 1}, Request{}, callerSink{}, noCapacity, "a request that ran was reported as not run"},
		{"part of a buffered answer", fakeCluster{tokens: 1}, Request{}, callerSink{heads: 1}, noCapacity, "a part of a buffered answer was sent"},
		{"run again", fakeCluster{tokens: 1, executed: 2}, Request{Repeat: deployment.RepeatUnlessRun}, callerSink{heads: 1, text: "t0 "}, nil, "a request that may have run was run again"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, violation(&test.cluster, &test.req, &test.c, test.p), test.want)
		})
	}
}

// TestLaterRefusalDoesNotHideUnknownOutcome checks that the outcome is reported as unknown
// if the first attempt may have run and the later ones are refused or find no endpoint. The
// later refusal would otherwise be reported as proof that the request did not run.
func TestLaterRefusalDoesNotHideUnknownOutcome(t *testing.T) {
	for _, later := range []struct {
		name      string
		endpoints int
	}{{"no endpoint left", 1}, {"refused", 4}} {
		t.Run(later.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := &fakeCluster{endpoints: later.endpoints, tokens: 1, faults: []attemptFault{faultLostRunning, faultRefused, faultRefused, faultRefused}}
				req := &Request{ID: "r", Organisation: "o", Fingerprint: "f", Model: "m", Repeat: deployment.RepeatAlways}
				p := newTestDispatcher(t, cluster).Do(t.Context(), req, &callerSink{})
				assert.Equal(t, p.Kind.Outcome, problem.Unknown)
			})
		})
	}
}

// TestProtectedRequestIsReclaimed checks that a protected request whose connection was lost
// is sent again once, and only to the same endpoint.
func TestProtectedRequestIsReclaimed(t *testing.T) {
	cluster := &fakeCluster{endpoints: 3, tokens: 1, faults: []attemptFault{faultLostRunning, faultNone}}
	req := &Request{ID: "r", Organisation: "o", Fingerprint: "f", Service: "s", Repeat: deployment.RepeatNever, Key: "k"}
	c := &callerSink{}
	p := newTestDispatcher(t, cluster).Do(t.Context(), req, c)
	assert.Assert(t, p == nil, "%v", p)
	assert.Equal(t, req.PinnedEndpoint, "e0")
	assert.Equal(t, c.text, "t0 ")
}
