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
	"github.com/cyclamenpoint/cyclamenpoint/platform"
	"github.com/cyclamenpoint/cyclamenpoint/retry"
	"github.com/cyclamenpoint/cyclamenpoint/route"
	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
	"github.com/cyclamenpoint/cyclamenpoint/upstream"
)

// inOrder picks endpoints in their order; those in silent have stopped reporting.
type inOrder struct {
	targets []forward.Target
	silent  map[string]bool

	mu       sync.Mutex
	verdicts []forward.Verdict
}

func (p *inOrder) Pick(_ *forward.Request, tried []string) (forward.Target, error) {
	if len(tried) >= len(p.targets) {
		return forward.Target{}, &forward.NoEndpointError{Reason: "none is left"}
	}
	return p.targets[len(tried)], nil
}

func (p *inOrder) Begin(string) {}
func (p *inOrder) End(string)   {}

func (p *inOrder) Record(_ forward.Target, v forward.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.verdicts = append(p.verdicts, v)
}

func (p *inOrder) Unresponsive(t forward.Target) bool { return p.silent[t.ID] }

// caller is a forward.Sink that keeps what it gets.
type caller struct {
	status int
	body   strings.Builder
}

func (c *caller) Head(status int, _ http.Header, _ int64) { c.status = status }
func (c *caller) Write(p []byte) error                    { _, err := c.body.Write(p); return err }
func (c *caller) Flush() error                            { return nil }

// do forwards a request of a stream, which has a given time, to the endpoints in
// their order.
func do(t *testing.T, given time.Duration, p *inOrder, repeat deployment.Repeat, endpoints ...*endpoint.Endpoint) (*caller, string, time.Duration) {
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
	f := forward.New(platform.Protocol{}, p, upstream.NewPool(upstream.Timing{Connect: time.Second}), budgets, slog.New(slog.DiscardHandler))
	now := time.Now()
	c := &caller{}
	problem := f.Do(context.Background(), &forward.Request{
		ID: "r1", Method: http.MethodPost, URI: "/s/1", Host: "h", Header: http.Header{"X-Request-Id": {"r1"}, "X-Model": {"m"}},
		Match: route.Match{
			Route:   &route.Route{Name: "s", Repeat: repeat, Stream: true, Resumable: repeat == deployment.RepeatAlways, MaxAttempts: 2},
			Service: &route.Service{Name: "engine"},
		},
		Arrived: now, Deadline: now.Add(given),
	}, c)
	kind := ""
	if problem != nil {
		kind = problem.Kind.Name
	}
	return c, kind, time.Since(now)
}

func hanging(id string) *endpoint.Endpoint {
	e := endpoint.New(id)
	e.SetFault(func(string, int) endpoint.Fault { return endpoint.Hangs })
	return e
}

// TestSilentEndpointIsGivenUp: an attempt that brings nothing, at an endpoint that
// has stopped reporting, is repeated elsewhere where that is allowed, long before
// the caller's time is over. One at an endpoint that still reports goes on, and so
// does one that may run once only.
func TestSilentEndpointIsGivenUp(t *testing.T) {
	// Without the watch the attempt would hang until the caller's time is over.
	c, problem, _ := do(t, time.Minute, &inOrder{silent: map[string]bool{"stopped": true}}, deployment.RepeatAlways, hanging("stopped"), endpoint.New("sound"))
	assert.Equal(t, problem, "")
	assert.Equal(t, c.status, http.StatusOK)
	assert.Equal(t, strings.Count(c.body.String(), "\n\n"), 5, "all events: %s", c.body.String())

	sound := endpoint.New("sound")
	const short = 3 * time.Second
	_, problem, took := do(t, short, &inOrder{}, deployment.RepeatAlways, hanging("slow"), sound)
	assert.Assert(t, problem != "" && took >= short, "%s after %v", problem, took)
	assert.Equal(t, len(sound.Runs()), 0)

	sound = endpoint.New("sound")
	_, problem, _ = do(t, short, &inOrder{silent: map[string]bool{"stopped": true}}, deployment.RepeatUnlessRun, hanging("stopped"), sound)
	assert.Assert(t, problem != "")
	assert.Equal(t, len(sound.Runs()), 0, "it may run once only")
}
