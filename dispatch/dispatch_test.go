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
	"github.com/cyclamenpoint/cyclamenpoint/problem"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
	"github.com/cyclamenpoint/cyclamenpoint/retry"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// Every run explores the same histories.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// fate is what happens to one attempt.
type fate int

const (
	fateWhole fate = iota
	fateRefused
	fateLost         // the connection breaks before the agent has it; provable
	fateLostRunning  // the connection breaks while it runs
	fateBroken       // the endpoint fails before its first token
	fateBrokenMidway // the endpoint fails after some tokens
	fateTruncated    // the answer's length is wrong
	fates
)

// world is a fake of the agents and the router. It records what truly ran.
type world struct {
	fates     []fate
	endpoints int
	stream    bool
	tokens    int

	attempts int
	// ran counts the attempts that reached an endpoint.
	ran int
	// resumedAt are the offsets at which attempts began.
	resumedAt []int64
}

func (w *world) Pick(_ context.Context, req *Request, tried []string) (Target, error) {
	if req.PinnedEndpoint != "" {
		return Target{Endpoint: req.PinnedEndpoint, Agent: req.PinnedEndpoint, CanResume: true}, nil
	}
	if len(tried) >= w.endpoints {
		return Target{}, &noneLeftError{}
	}
	name := fmt.Sprintf("e%d", len(tried))
	return Target{Endpoint: name, Agent: name, CanResume: true}, nil
}

type noneLeftError struct{}

func (*noneLeftError) Error() string { return "no endpoint is left" }

func (w *world) Available(endpoints []string) []string    { return endpoints }
func (w *world) Record(Target, *pb.ProbeResponse, Result) {}
func (w *world) broken(req *pb.ExecuteRequest, cause error) error {
	return &agentconn.BrokenError{Address: req.GetEndpoint(), Cause: cause}
}

func (w *world) next() fate {
	f := fateWhole
	if w.attempts < len(w.fates) {
		f = w.fates[w.attempts]
	}
	w.attempts++
	return f
}

// Execute plays the next fate.
func (w *world) Execute(ctx context.Context, _ string, req *pb.ExecuteRequest, take agentconn.FrameFunc) error {
	f := w.next()
	w.resumedAt = append(w.resumedAt, req.GetResumeOffset())
	switch f {
	case fateRefused:
		_, err := take(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_Refused{Refused: &pb.AttemptRefused{Reason: pb.RefusalReason_REFUSAL_REASON_QUEUE_FULL}}})
		return err
	case fateLost:
		return w.broken(req, context.DeadlineExceeded)
	case fateLostRunning:
		w.ran++
		return w.broken(req, context.DeadlineExceeded)
	}
	w.ran++
	return w.answer(f, req, take)
}

// answer plays the frames of an attempt that reached its endpoint.
func (w *world) answer(f fate, req *pb.ExecuteRequest, take agentconn.FrameFunc) error {
	contentType := "application/json"
	if w.stream {
		contentType = "text/event-stream"
	}
	end := &pb.AttemptEnd{Outcome: pb.Outcome_OUTCOME_DONE}
	if f == fateBroken || f == fateBrokenMidway {
		end.Outcome = pb.Outcome_OUTCOME_BROKEN
	}
	if f != fateBroken {
		if _, err := take(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_Head{Head: &pb.AttemptHead{
			Status: 200, Headers: []*pb.Header{{Name: "Content-Type", Value: contentType}},
		}}}); err != nil {
			return err
		}
		for i := int(req.GetResumeOffset()); i < w.tokens; i++ {
			if f == fateBrokenMidway && i >= w.tokens/2 {
				break
			}
			data := []byte(fmt.Sprintf("t%d ", i))
			frame := &pb.AttemptData{Offset: end.TotalBytes, Data: data, TokenOffset: int64(i + 1)}
			end.TotalBytes += int64(len(data))
			if _, err := take(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_Data{Data: frame}}); err != nil {
				return err
			}
		}
	}
	if f == fateTruncated {
		end.TotalBytes++
	}
	_, err := take(&pb.ExecuteResponse{Frame: &pb.ExecuteResponse_End{End: end}})
	return err
}

// Revoke proves what is true: only an attempt that never reached its endpoint
// did not run.
func (w *world) Revoke(context.Context, string, *pb.RevokeRequest) (*pb.RevokeResponse, error) {
	if w.fates[w.attempts-1] == fateLost {
		return &pb.RevokeResponse{Outcome: pb.Outcome_OUTCOME_NOT_RUN}, nil
	}
	return &pb.RevokeResponse{Outcome: pb.Outcome_OUTCOME_UNKNOWN}, nil
}

// caller records what the caller saw.
type caller struct {
	heads int
	text  string
}

func (c *caller) Head(int, []*pb.Header, bool) error {
	c.heads++
	return nil
}

func (c *caller) Data(data []byte) error {
	c.text += string(data)
	return nil
}

func (w *world) wholeText() string {
	text := ""
	for i := range w.tokens {
		text += fmt.Sprintf("t%d ", i)
	}
	return text
}

func dispatcherOn(t rapid.TB, w *world) *Dispatcher {
	budget, err := retry.NewBudget(retry.BudgetConfig{Ratio: 1, NodeReserve: 10, OrganisationReserve: 10, Organisations: 10})
	assert.NilError(t, err)
	suspects, err := quarantine.NewList(quarantine.Config{Keep: time.Hour, MaxCrashes: 10, MaxClears: 10})
	assert.NilError(t, err)
	policy := retry.Policy{MaxAttempts: 4, BaseBackoff: time.Millisecond, MaxBackoff: time.Second}
	return New(w, w, policy, budget, suspects, decision.NewLog(16))
}

// verdict names the promise that an outcome breaks, or "".
func verdict(w *world, req *Request, c *caller, p *problem.Problem) string {
	switch {
	case p == nil && c.text != w.wholeText():
		return "an answer that is not whole was given as whole"
	case p == nil && c.heads != 1:
		return "the answer has not exactly one head"
	case p != nil && p.Kind.Outcome != problem.Unknown && w.ran > 0:
		return "a request that ran was called not run"
	case p != nil && !w.stream && c.heads > 0:
		return "a part of a buffered answer was given"
	case req.Repeat == deployment.RepeatUnlessRun && w.ran > 1:
		return "a request that may have run was run again"
	default:
		return ""
	}
}

func drawWorld(t *rapid.T) (*world, *Request) {
	w := &world{
		endpoints: rapid.IntRange(1, 4).Draw(t, "endpoints"),
		stream:    rapid.Bool().Draw(t, "stream"),
		tokens:    rapid.IntRange(1, 6).Draw(t, "tokens"),
	}
	for range 6 {
		w.fates = append(w.fates, fate(rapid.IntRange(0, int(fates)-1).Draw(t, "fate")))
	}
	req := &Request{ID: "r", Organisation: "o", Fingerprint: "f", Model: "m", Repeat: deployment.RepeatAlways}
	if rapid.Bool().Draw(t, "unless run") {
		req.Repeat = deployment.RepeatUnlessRun
	}
	return w, req
}

// TestOutcomesAreTrue plays random fates of attempts and checks what the caller
// was told against what truly ran.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, req := drawWorld(t)
		c := &caller{}
		p := dispatcherOn(t, w).Do(context.Background(), req, c)
		if broken := verdict(w, req, c, p); broken != "" {
			t.Fatalf("%s: problem %v, ran %d, text %q", broken, p, w.ran, c.text)
		}
	})
}

// TestVerdictFindsPlantedFaults shows that each promise's check can fail.
func TestVerdictFindsPlantedFaults(t *testing.T) {
	denied := &problem.Problem{Kind: problem.NoCapacity}
	tests := []struct {
		name string
		w    world
		req  Request
		c    caller
		p    *problem.Problem
		want string
	}{
		{"part given as whole", world{tokens: 2}, Request{}, caller{heads: 1, text: "t0 "}, nil, "an answer that is not whole was given as whole"},
		{"two heads", world{tokens: 1}, Request{}, caller{heads: 2, text: "t0 "}, nil, "the answer has not exactly one head"},
		{"ran but denied", world{tokens: 1, ran: 1}, Request{}, caller{}, denied, "a request that ran was called not run"},
		{"part of a buffered answer", world{tokens: 1}, Request{}, caller{heads: 1}, denied, "a part of a buffered answer was given"},
		{"run again", world{tokens: 1, ran: 2}, Request{Repeat: deployment.RepeatUnlessRun}, caller{heads: 1, text: "t0 "}, nil, "a request that may have run was run again"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, verdict(&test.w, &test.req, &test.c, test.p), test.want)
		})
	}
}

// TestALaterRefusalProvesNothingOfTheFirst is the case that a random history
// found: the first attempt may have run, and no endpoint is left for another.
func TestALaterRefusalProvesNothingOfTheFirst(t *testing.T) {
	for _, later := range []struct {
		name      string
		endpoints int
	}{{"no endpoint left", 1}, {"refused", 4}} {
		t.Run(later.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &world{endpoints: later.endpoints, tokens: 1, fates: []fate{fateLostRunning, fateRefused, fateRefused, fateRefused}}
				req := &Request{ID: "r", Organisation: "o", Fingerprint: "f", Model: "m", Repeat: deployment.RepeatAlways}
				p := dispatcherOn(t, w).Do(t.Context(), req, &caller{})
				assert.Equal(t, p.Kind.Outcome, problem.Unknown)
			})
		})
	}
}

// TestProtectedRequestAsksForItsAnswer shows that a protected request whose
// connection broke is sent again to the same endpoint only, once.
func TestProtectedRequestAsksForItsAnswer(t *testing.T) {
	w := &world{endpoints: 3, tokens: 1, fates: []fate{fateLostRunning, fateWhole}}
	req := &Request{ID: "r", Organisation: "o", Fingerprint: "f", Service: "s", Repeat: deployment.RepeatNever, Key: "k"}
	c := &caller{}
	p := dispatcherOn(t, w).Do(t.Context(), req, c)
	assert.Assert(t, p == nil, "%v", p)
	assert.Equal(t, req.PinnedEndpoint, "e0")
	assert.Equal(t, c.text, "t0 ")
}
