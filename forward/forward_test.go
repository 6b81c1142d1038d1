package forward_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/discovery"
	"github.com/cyclamenpoint/cyclamenpoint/forward"
	"github.com/cyclamenpoint/cyclamenpoint/membudget"
	"github.com/cyclamenpoint/cyclamenpoint/platform"
	"github.com/cyclamenpoint/cyclamenpoint/retry"
	"github.com/cyclamenpoint/cyclamenpoint/route"
	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
	"github.com/cyclamenpoint/cyclamenpoint/upstream"
)

// orderedPicker picks endpoints in the order of targets. Those in unresponsive count
// as no longer reporting.
type orderedPicker struct {
	targets      []forward.Target
	unresponsive map[string]bool

	mu       sync.Mutex
	verdicts []forward.Verdict
}

func (p *orderedPicker) Pick(_ *forward.Request, tried []string) (forward.Target, error) {
	if len(tried) >= len(p.targets) {
		return forward.Target{}, &forward.NoEndpointError{Reason: "none is left"}
	}
	return p.targets[len(tried)], nil
}

func (p *orderedPicker) Begin(*forward.Request, forward.Target, func()) forward.Watch {
	return unwatched{}
}

// unwatched is a forward.Watch that ignores the course of attempts.
type unwatched struct{}

func (unwatched) Sent()                 {}
func (unwatched) Answered(bool)         {}
func (unwatched) Completed()            {}
func (unwatched) ConnectionLost()       {}
func (unwatched) Stated(forward.Answer) {}
func (unwatched) End()                  {}

func (p *orderedPicker) Record(_ forward.Target, v forward.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.verdicts = append(p.verdicts, v)
}

func (p *orderedPicker) NextFree(*forward.Request) time.Duration { return 0 }

func (p *orderedPicker) Unresponsive(t forward.Target) bool { return p.unresponsive[t.ID] }

// caller is a forward.Sink that records the response.
type caller struct {
	status int
	body   strings.Builder
}

func (c *caller) Head(status int, _ http.Header, _ int64) { c.status = status }
func (c *caller) Write(p []byte) error                    { _, err := c.body.Write(p); return err }
func (c *caller) Flush() error                            { return nil }

// do forwards a stream request with the given timeout to the endpoints in order. It
// returns the response, the name of the problem and the time taken.
func do(t *testing.T, timeout time.Duration, p *orderedPicker, repeat deployment.Repeat, endpoints ...*endpoint.Endpoint) (*caller, string, time.Duration) {
	t.Helper()
	for _, e := range endpoints {
		server := httptest.NewServer(e)
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		p.targets = append(p.targets, forward.Target{Endpoint: discovery.Endpoint{ID: e.ID(), Address: strings.TrimPrefix(server.URL, "http://")}})
	}
	budgets := forward.NewRetryBudgets(retry.WindowConfig{Ratio: 0.2, Reserve: 100, Period: 10 * time.Second})
	f := forward.New(platform.Protocol{}, p, upstream.NewPool(upstream.Timeouts{Connect: time.Second}), budgets, membudget.New(membudget.Config{}), slog.New(slog.DiscardHandler))
	now := time.Now()
	c := &caller{}
	problem := f.Do(context.Background(), &forward.Request{
		ID: "r1", Method: http.MethodPost, URI: "/s/1", Host: "h", Header: http.Header{"X-Request-Id": {"r1"}, "X-Model": {"m"}},
		Match: route.Match{
			Route:   &route.Route{Name: "s", Repeat: repeat, Stream: true, Resumable: repeat == deployment.RepeatAlways, MaxAttempts: 2},
			Service: &route.Service{Name: "engine"},
		},
		Arrived: now, Deadline: now.Add(timeout),
	}, c)
	kind := ""
	if problem != nil {
		kind = problem.Kind.Name
	}
	return c, kind, time.Since(now)
}

// hanging returns an endpoint that never answers.
func hanging(id string) *endpoint.Endpoint {
	e := endpoint.New(id)
	e.SetFault(func(string, int) endpoint.Fault { return endpoint.Hang })
	return e
}

// TestStalledAttemptIsRetriedElsewhere checks that a stalled attempt at an endpoint
// that no longer reports is retried at another one, long before the caller's
// deadline. An attempt at an endpoint that still reports is not cancelled, and
// neither is a request that may run only once.
func TestStalledAttemptIsRetriedElsewhere(t *testing.T) {
	// Without the watch the attempt would hang until the caller's deadline.
	c, problem, _ := do(t, time.Minute, &orderedPicker{unresponsive: map[string]bool{"stopped": true}}, deployment.RepeatAlways, hanging("stopped"), endpoint.New("healthy"))
	assert.Equal(t, problem, "")
	assert.Equal(t, c.status, http.StatusOK)
	assert.Equal(t, strings.Count(c.body.String(), "\n\n"), 5, "all events: %s", c.body.String())

	healthy := endpoint.New("healthy")
	const short = 3 * time.Second
	_, problem, took := do(t, short, &orderedPicker{}, deployment.RepeatAlways, hanging("slow"), healthy)
	assert.Assert(t, problem != "" && took >= short, "%s after %v", problem, took)
	assert.Equal(t, len(healthy.Runs()), 0)

	healthy = endpoint.New("healthy")
	_, problem, _ = do(t, short, &orderedPicker{unresponsive: map[string]bool{"stopped": true}}, deployment.RepeatUnlessRun, hanging("stopped"), healthy)
	assert.Assert(t, problem != "")
	assert.Equal(t, len(healthy.Runs()), 0, "a request that may run only once was sent again")
}

// TestLastAttemptIsNotCancelled guards against callers whose answer the gateway gives
// up although nobody else may serve it: beside a full network link, load reports and
// events were late, an endpoint counted as unresponsive, and the gateway closed the
// stream of a request that had used up its attempts. The endpoint answered in time.
func TestLastAttemptIsNotCancelled(t *testing.T) {
	reset := endpoint.New("reset")
	reset.SetFault(func(string, int) endpoint.Fault { return endpoint.ResetBeforeAnswer })
	slow := endpoint.New("slow")
	// The endpoint hesitates for longer than an attempt may stall.
	slow.SetFault(func(string, int) endpoint.Fault {
		time.Sleep(1500 * time.Millisecond)
		return endpoint.NoFault
	})
	p := &orderedPicker{unresponsive: map[string]bool{"slow": true}}
	c, problem, _ := do(t, time.Minute, p, deployment.RepeatAlways, reset, slow, endpoint.New("spare"))
	assert.Equal(t, problem, "")
	assert.Equal(t, c.status, http.StatusOK)
	assert.Equal(t, strings.Count(c.body.String(), "\n\n"), 5, "all events: %s", c.body.String())
}
