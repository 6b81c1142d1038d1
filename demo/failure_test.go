package demo

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/node"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
	enginestandin "github.com/cyclamenpoint/cyclamenpoint/standin/engine"
	tablestandin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
)

// openStream starts a stream and returns its response. The response begins with
// the first event, so the request is running by then.
func openStream(t *testing.T, d *Demo, prompt string, tokens int) *http.Response {
	t.Helper()
	resp := post(t, d.CallerURLs()[0]+"/v1/chat/completions", chatBody(prompt, tokens), http.Header{})
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	return resp
}

// rankOf returns the number of the first rank that has started a request, and the
// rank.
func rankOf(t *testing.T, d *Demo, requestID string) (int, *enginestandin.Rank) {
	t.Helper()
	for i := range engineCount {
		rank := d.engines.Rank(i)
		if slices.Contains(rank.Runs(), requestID) {
			return i, rank
		}
	}
	t.Fatalf("no rank has started request %s", requestID)
	return 0, nil
}

// agentOf returns the agent of an endpoint.
func agentOf(t *testing.T, d *Demo, endpointName string) *node.Agent {
	t.Helper()
	for i, e := range d.config.Endpoints {
		if e.Name == endpointName {
			return d.agents[i]
		}
	}
	t.Fatalf("no endpoint %s", endpointName)
	return nil
}

// TestStreamSurvivesFailures injects a failure into a running stream. The caller
// must receive each token of its answer exactly once.
func TestStreamSurvivesFailures(t *testing.T) {
	const tokens = 15
	tests := []struct {
		name string
		fail func(t *testing.T, d *Demo, requestID string)
	}{
		{"engine crashes", func(t *testing.T, d *Demo, id string) {
			_, rank := rankOf(t, d, id)
			rank.Crash()
		}},
		{"stream from the engine hangs", func(t *testing.T, d *Demo, id string) {
			_, rank := rankOf(t, d, id)
			rank.HangStreams()
		}},
		{"agent is killed", func(t *testing.T, d *Demo, id string) {
			i, _ := rankOf(t, d, id)
			agentOf(t, d, d.config.Ranks(demoGroup)[i].Name).Abort()
		}},
		{"group stalls", func(_ *testing.T, d *Demo, _ string) {
			d.engines.Stall(4 * time.Second)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := startDemo(t)
			defer func() { assert.NilError(t, d.Stop(context.Background())) }()
			resp := openStream(t, d, test.name, tokens)
			defer resp.Body.Close()
			id := resp.Header.Get("X-Request-Id")
			test.fail(t, d, id)
			text, done := readStream(resp.Body)
			assert.Equal(t, text, answerText(test.name, tokens))
			assert.Assert(t, done)
		})
	}
}

// TestStalledStreamIsNotRetried guards against taking a stalled engine for a
// lost connection, which would run the request on a second rank.
func TestStalledStreamIsNotRetried(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	resp := openStream(t, d, "slow", 4)
	defer resp.Body.Close()
	d.engines.Stall(4 * time.Second)
	_, done := readStream(resp.Body)
	assert.Assert(t, done)
	runs := 0
	for i := range engineCount {
		if slices.Contains(d.engines.Rank(i).Runs(), resp.Header.Get("X-Request-Id")) {
			runs++
		}
	}
	assert.Equal(t, runs, 1)
}

func postReservation(t *testing.T, d *Demo, key string) *http.Response {
	t.Helper()
	return post(t, d.CallerURLs()[0]+"/services/desk/reservations", `{"item":"belt"}`, http.Header{"Idempotency-Key": {key}})
}

func TestProtectedRequestsAreNotRunWhileTheTableIsDown(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	d.table.SetFaults(tablestandin.Faults{Down: true})
	resp := postReservation(t, d, "order-2")
	kind, outcome := decodeProblem(t, resp)
	assert.Equal(t, kind, problem.StoreDown.Name)
	assert.Equal(t, outcome, string(problem.NotRun))
	assert.Equal(t, d.service.Runs("order-2"), 0)
	chat := openStream(t, d, "meanwhile", 3)
	text, done := readStream(chat.Body)
	chat.Body.Close()
	assert.Assert(t, done)
	assert.Equal(t, text, answerText("meanwhile", 3))
	d.table.SetFaults(tablestandin.Faults{})
	reserveUntilCreated(t, d, "order-2")
	assert.Equal(t, d.service.Runs("order-2"), 1)
}

// reserveUntilCreated repeats a reservation while it is rejected as not run. The
// agents may reject reservations until they have detected that the table is
// available again.
func reserveUntilCreated(t *testing.T, d *Demo, key string) {
	t.Helper()
	for {
		resp := postReservation(t, d, key)
		if resp.StatusCode == http.StatusCreated {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			return
		}
		_, outcome := decodeProblem(t, resp)
		assert.Equal(t, outcome, string(problem.NotRun))
		assert.Equal(t, d.service.Runs(key), 0)
	}
}

func TestOutcomeIsUnknownAfterAgentIsKilled(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	d.service.SetDelay(time.Second)
	answered := make(chan *http.Response, 1)
	go func() { answered <- postReservation(t, d, "order-3") }()
	for d.service.Runs("order-3") == 0 {
		time.Sleep(time.Millisecond)
	}
	for i, e := range d.config.Endpoints {
		if strings.HasPrefix(e.Name, demoService) {
			d.agents[i].Abort()
		}
	}
	_, outcome := decodeProblem(t, <-answered)
	assert.Equal(t, outcome, string(problem.Unknown))
	assert.Equal(t, d.service.Runs("order-3"), 1)
}

func TestDisconnectedCallerFreesTheEngine(t *testing.T) {
	d := startDemo(t)
	defer func() { assert.NilError(t, d.Stop(context.Background())) }()
	resp := openStream(t, d, "gone", maxTokens)
	_, rank := rankOf(t, d, resp.Header.Get("X-Request-Id"))
	assert.Equal(t, rank.Active(), 1)
	resp.Body.Close()
	for rank.Active() > 0 {
		time.Sleep(time.Millisecond)
	}
}
